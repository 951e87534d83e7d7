// Exposures in the messages between entries.
#ifndef SKYLARK_PEER_EXPOSURE_CODEC_HPP
#define SKYLARK_PEER_EXPOSURE_CODEC_HPP

#include <vector>

#include <skylark/rollout/exposure.hpp>

#include "peer/gen/peer_types.h"

namespace skylark::peer::internal {

std::vector<wire::exposure> to_wire(const std::vector<exposure>& from);
std::vector<exposure> from_wire(const std::vector<wire::exposure>& from);

} // namespace skylark::peer::internal

#endif
