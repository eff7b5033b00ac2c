// Child processes of a test: started, killed by their ids, and their output.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace loopback {

class Process {
 public:
  // Output goes to the file. Throws if it can't be started.
  Process(const std::vector<std::string>& command, const std::string& outputPath);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();  // ends it

  // Whether it has ended; its status is known from then on.
  bool ended();
  int status() const { return status_; }  // exit status, or -1 if a signal ended it
  void kill();

 private:
  pid_t id_ = -1;
  int status_ = -1;
  bool ended_ = false;
};

std::string readFile(const std::string& path);

}  // namespace loopback
