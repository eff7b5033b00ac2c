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
  std::vector<char*> words;
  for (const std::string& word : command) words.push_back(const_cast<char*>(word.c_str()));
  words.push_back(nullptr);
  const int error = ::posix_spawn(&id_, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("can't start " + command.front());
}

Process::~Process() { kill(); }

bool Process::ended() {
  if (ended_) return true;
  int status = 0;
  if (::waitpid(id_, &status, WNOHANG) != id_) return false;
  ended_ = true;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return true;
}

void Process::kill() {
  if (ended()) return;
  ::kill(id_, SIGKILL);
  ::waitpid(id_, nullptr, 0);
  ended_ = true;
}

std::string readFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace loopback
