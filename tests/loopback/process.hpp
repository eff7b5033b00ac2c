// Child processes of a test.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace loopback {

// A child process; its destructor kills it.
class Process {
 public:
  // Starts the command with its output in the file. Throws std::runtime_error if it can't be started.
  Process(const std::vector<std::string>& command, const std::string& outputPath);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  // Whether it has ended; status() is valid from then on.
  bool ended();
  int status() const { return status_; }  // exit status, or -1 if a signal ended it
  // Kills the process and waits for it.
  void kill();

 private:
  pid_t id_ = -1;
  int status_ = -1;
  bool ended_ = false;
};

// The whole content; empty if the file can't be read.
std::string readFile(const std::string& path);

}  // namespace loopback
