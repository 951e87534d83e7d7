// Answers without an end, as the stand-in for a server writes them.
#include "standin/endless_writer.hpp"

#include <memory>

#include "test/io/http_server_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;
using standin::endless_answer;
using standin::endless_form;
using standin::endless_forms;

namespace {

class endless_writer_test : public test::http_server_fixture {
protected:
    // A caller of a new answer.
    std::unique_ptr<raw_caller> begin(const endless_form& form, bool slow) {
        auto out = std::make_unique<raw_caller>(m_where);
        out->write(m_get);
        run_until_received(m_exchanges.size() + 1);
        const exchange_id key = m_exchanges.back();
        m_writer.begin(key, m_server.duplicate_descriptor(key),
                       "HTTP/1.1 200 -\r\n", endless_answer{&form, 200, slow});
        return out;
    }

    static std::string expected(const endless_form& form, std::size_t size) {
        std::string out = "HTTP/1.1 200 -\r\n";
        out += form.m_begin;
        while (out.size() < size)
            out += form.m_repeated;
        out.resize(size);
        return out;
    }

    std::uint64_t m_ended{}; // answers
    standin::endless_writer m_writer{m_loop, 1,
                                     [this](exchange_id key, std::uint64_t) {
                                         ++m_ended;
                                         m_server.answer(key, 503, {}, "");
                                     }};
};

} // namespace

TEST_F(endless_writer_test, sends_each_form_until_its_caller_closes) {
    constexpr std::size_t enough = 200'000;
    for (const endless_form& form : endless_forms()) {
        auto caller = begin(form, false);
        run_until([&] {
            EXPECT_TRUE(caller->read()) << form.m_name;
            return caller->bytes().size() >= enough;
        });
        EXPECT_EQ(caller->bytes().substr(0, enough), expected(form, enough))
            << form.m_name;
        const std::uint64_t before = m_ended;
        caller.reset();
        run_until([&] { return m_ended == before + 1; });
    }
    run_until([this] { return m_server.connections() == 0; });
}

TEST_F(endless_writer_test, one_that_is_not_read_holds_up_no_other) {
    const auto unread = begin(endless_forms().front(), false);
    const auto slow = begin(endless_forms().back(), true);
    run_until([&] {
        slow->read();
        return slow->bytes().size() >= 100;
    });
    EXPECT_EQ(slow->bytes(),
              expected(endless_forms().back(), slow->bytes().size()));
    EXPECT_EQ(m_ended, 0);
}
