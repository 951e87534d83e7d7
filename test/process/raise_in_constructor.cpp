// Preloaded library that raises the signal of RAISED_SIGNAL while libraries are
// initialized, before main().
#include <csignal>
#include <cstdlib>

namespace {

[[gnu::constructor]] void raise_signal() {
    if (const char* number = std::getenv("RAISED_SIGNAL"))
        std::raise(std::atoi(number));
}

} // namespace
