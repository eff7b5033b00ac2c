#include "loopback/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace loopback {

Process::Process(const std::vector<std::string>& command, const std::string& outputPath) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments;
  for (const std::string& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  const int error = ::posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("can't start " + command.front());
}

Process::~Process() { kill(); }

bool Process::hasEnded() {
  if (hasEnded_) return true;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
  hasEnded_ = true;
  exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return true;
}

void Process::kill() {
  if (hasEnded()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  hasEnded_ = true;
}

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace loopback
