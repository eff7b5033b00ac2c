#include "service/leader/heap_usage.hpp"

#include <malloc.h>

#include "config/constants.hpp"

namespace reachhoist::service {

std::size_t heapInUseKib() {
  const struct mallinfo2 usage = ::mallinfo2();
  return (usage.uordblks + usage.hblkhd) / static_cast<std::size_t>(constants::kBytesPerKib);
}

}  // namespace reachhoist::service
