// Counts the heap memory that the test program holds through operator new.
#pragma once

#include <cstddef>

namespace reachhoist::testing {

// Measures the growth of the heap since its construction. It counts the allocations of the whole program.
class AllocationMeter {
 public:
  AllocationMeter();
  // The most bytes held at any time since the construction, beyond those held then.
  std::size_t peakBytes() const;

 private:
  std::size_t bytesBefore_;
};

}  // namespace reachhoist::testing
