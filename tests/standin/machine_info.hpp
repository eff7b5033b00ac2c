// The identity of a machine.
#pragma once

#include <string>

namespace standin {

struct MachineInfo {
  std::string host;
  std::string machineType;
  std::string zone;
  bool spot = false;
};

}  // namespace standin
