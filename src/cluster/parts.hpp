// Machines are hashed to parts for ever; parts are owned by controllers, and only the owner changes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace reachhoist::cluster {

using Part = unsigned;

Part partOf(std::string_view name, unsigned parts);
std::string partKey(Part part);

// Who gives the commands: the term in the high bits, and below it a counter by which older commands to one
// machine are made void.
std::uint64_t token(std::uint64_t term, std::uint64_t fence);

}  // namespace reachhoist::cluster
