// The heap memory of the process, for the log.
#pragma once

#include <cstddef>

namespace reachhoist::service {

// The heap memory in use, in KiB, as the C library's allocator counts it. 0 if another allocator, such as
// that of a sanitizer, has replaced it.
std::size_t heapInUseKib();

}  // namespace reachhoist::service
