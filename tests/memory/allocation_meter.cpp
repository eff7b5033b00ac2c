#include "memory/allocation_meter.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {

std::size_t heldBytes = 0;
std::size_t peakHeldBytes = 0;

// An allocator may use malloc and free.
// NOLINTBEGIN(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)
void* allocate(std::size_t bytes) {
  void* const memory = std::malloc(std::max<std::size_t>(bytes, 1));
  if (memory == nullptr) throw std::bad_alloc();
  heldBytes += ::malloc_usable_size(memory);
  peakHeldBytes = std::max(peakHeldBytes, heldBytes);
  return memory;
}

void release(void* memory) {
  if (memory == nullptr) return;
  heldBytes -= ::malloc_usable_size(memory);
  std::free(memory);
}
// NOLINTEND(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)

}  // namespace

void* operator new(std::size_t bytes) { return allocate(bytes); }
void* operator new[](std::size_t bytes) { return allocate(bytes); }
void operator delete(void* memory) noexcept { release(memory); }
void operator delete[](void* memory) noexcept { release(memory); }
void operator delete(void* memory, std::size_t) noexcept { release(memory); }
void operator delete[](void* memory, std::size_t) noexcept { release(memory); }

namespace reachhoist::testing {

AllocationMeter::AllocationMeter() : bytesBefore_(heldBytes) { peakHeldBytes = heldBytes; }

std::size_t AllocationMeter::peakBytes() const { return peakHeldBytes - bytesBefore_; }

}  // namespace reachhoist::testing
