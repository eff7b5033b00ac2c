// Reports of workers, and the orders they are answered with.
#include "wire/fields.hpp"

namespace reachhoist::wire {

namespace {

TaskState taskStage(const std::string& text) {
  if (text == "pulling") return TaskState::pulling;
  if (text == "waiting") return TaskState::waiting;
  if (text == "running") return TaskState::running;
  if (text == "saving") return TaskState::saving;
  if (text == "ended") return TaskState::ended;
  return TaskState::unfamiliar;
}

std::string_view name(TaskState stage) {
  switch (stage) {
    case TaskState::pulling:
      return "pulling";
    case TaskState::waiting:
      return "waiting";
    case TaskState::running:
      return "running";
    case TaskState::saving:
      return "saving";
    case TaskState::ended:
      return "ended";
    case TaskState::unfamiliar:
      return "unfamiliar";
  }
  return "ended";
}

constexpr std::pair<Cause, std::string_view> kCauses[] = {
    {Cause::done, "done"},    {Cause::halted, "halted"},
    {Cause::error, "error"},  {Cause::insufficientCapacity, "no_room"},
    {Cause::inUse, "in_use"}, {Cause::unknown, "unknown"},
    {Cause::peers, "peers"},  {Cause::alone, "alone"}};

std::optional<Cause> cause(const std::string& text) {
  for (const auto& [value, label] : kCauses)
    if (label == text) return value;
  return std::nullopt;
}

std::string_view name(Cause value) {
  for (const auto& [known, label] : kCauses)
    if (known == value) return label;
  return "error";
}

std::string_view name(CommandVerb verb) {
  switch (verb) {
    case CommandVerb::start:
      return "launch";
    case CommandVerb::stop:
      return "halt";
    case CommandVerb::forget:
      return "reap";
  }
  return "halt";
}

}  // namespace

Result<WorkerHeartbeat> decodeHeartbeat(const Json& body) {
  if (!body.is_object()) return Result<WorkerHeartbeat>::failure("body is not a map");
  WorkerHeartbeat heartbeat;
  Fields fields(body);
  fields.text("host", heartbeat.host.text);
  fields.text("endpoint", heartbeat.endpoint);
  fields.text("rig", heartbeat.machineType);
  fields.text("yard", heartbeat.zone);
  fields.flag("loaners", heartbeat.spot);
  fields.count("shift", heartbeat.incarnation);
  fields.count("tally", heartbeat.sequence);
  fields.count("baton", heartbeat.token);
  fields.optionalAmount("recallS", heartbeat.spotNoticeS);
  const Json* tasks = field(body, "loads");
  if (tasks == nullptr || !tasks->is_array()) {
    fields.complain("loads");
  } else {
    for (const Json& entry : *tasks) {
      TaskStatus status;
      const auto id = parseTaskId(textField(entry, "load").value_or(""));
      const auto attempt = countField(entry, "try");
      const auto stage = textField(entry, "stage");
      if (!id || !attempt || !stage) {
        fields.complain("loads");
        break;
      }
      status.task = *id;
      status.attempt = *attempt;
      status.stage = taskStage(*stage);
      if (status.stage == TaskState::ended) {
        const auto why = cause(textField(entry, "cause").value_or(""));
        if (!why) status.stage = TaskState::unfamiliar;
        status.cause = why.value_or(Cause::none);
      }
      status.stored = flagField(entry, "stored").value_or(false);
      heartbeat.tasks.push_back(std::move(status));
    }
  }
  if (!fields.ok()) return Result<WorkerHeartbeat>::failure(fields.reason());
  return heartbeat;
}

Json encodeHeartbeat(const WorkerHeartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const TaskStatus& status : heartbeat.tasks) {
    Json entry{{"load", status.task.str()}, {"try", status.attempt}, {"stage", name(status.stage)}};
    if (status.stage == TaskState::ended) entry["cause"] = name(status.cause);
    if (status.stored) entry["stored"] = true;
    tasks.push_back(std::move(entry));
  }
  Json out{{"host", heartbeat.host.text}, {"endpoint", heartbeat.endpoint}, {"rig", heartbeat.machineType},
           {"yard", heartbeat.zone},      {"loaners", heartbeat.spot},      {"shift", heartbeat.incarnation},
           {"tally", heartbeat.sequence}, {"baton", heartbeat.token},       {"loads", std::move(tasks)}};
  if (heartbeat.spotNoticeS) out["recallS"] = *heartbeat.spotNoticeS;
  return out;
}

Json encodeCommands(std::uint64_t token, const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) {
    Json entry{{"verb", name(command.verb)}, {"load", command.task.str()}, {"try", command.attempt}};
    if (command.verb == CommandVerb::stop) entry["windDownS"] = command.graceS;
    list.push_back(std::move(entry));
  }
  return Json{{"baton", token}, {"orders", std::move(list)}};
}

}  // namespace reachhoist::wire
