// Child processes of a test.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace loopback {

// A child process; its destructor kills it.
class Process {
 public:
  // Starts the command and appends its output to the file. Throws std::runtime_error if it can't be started.
  Process(const std::vector<std::string>& command, const std::string& outputPath);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  // Whether the process has ended. exitStatus() is valid once it has.
  bool hasEnded();
  // The exit status, or -1 if a signal ended the process.
  int exitStatus() const { return exitStatus_; }
  // Kills the process and waits for it.
  void kill();

 private:
  pid_t pid_ = -1;
  int exitStatus_ = -1;
  bool hasEnded_ = false;
};

// Returns the whole content of the file, or an empty string if the file can't be read.
std::string readFile(const std::string& path);

}  // namespace loopback
