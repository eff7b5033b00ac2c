// Decodes and encodes the heartbeats of workers, and encodes the commands in the answers to them.
#include "wire/fields.hpp"

namespace reachhoist::wire {

namespace {

constexpr EnumName<TaskState> kTaskStateNames[] = {{TaskState::pulling, "pulling"},
                                                   {TaskState::waiting, "waiting"},
                                                   {TaskState::running, "running"},
                                                   {TaskState::checkpointing, "saving"},
                                                   {TaskState::ended, "ended"}};

constexpr EnumName<Cause> kCauseNames[] = {
    {Cause::done, "done"},          {Cause::stopped, "halted"},
    {Cause::error, "error"},        {Cause::insufficientCapacity, "no_room"},
    {Cause::inUse, "in_use"},       {Cause::unknown, "unknown"},
    {Cause::gangTaskLost, "peers"}, {Cause::gangIncomplete, "alone"}};

constexpr EnumName<CommandVerb> kCommandVerbNames[] = {
    {CommandVerb::start, "launch"}, {CommandVerb::stop, "halt"}, {CommandVerb::forget, "reap"}};

// Returns nothing if the entry lacks the task, the attempt or the state. An unknown state or cause is not an
// error, since a later protocol version can add some.
std::optional<TaskStatus> decodeTaskStatus(const Json& entry) {
  const auto task = parseTaskId(textField(entry, "load").value_or(""));
  const auto attempt = countField(entry, "try");
  const auto state = textField(entry, "stage");
  if (!task || !attempt || !state) return std::nullopt;
  TaskStatus status;
  status.task = *task;
  status.attempt = *attempt;
  status.state = valueIn(kTaskStateNames, *state).value_or(TaskState::unrecognized);
  if (status.state == TaskState::ended) {
    const auto cause = valueIn(kCauseNames, textField(entry, "cause").value_or(""));
    if (!cause) status.state = TaskState::unrecognized;
    status.cause = cause.value_or(Cause::none);
  }
  status.checkpointed = flagField(entry, "stored").value_or(false);
  return status;
}

void readTasks(FieldReader& fields, std::vector<TaskStatus>& tasks) {
  const Json* entries = fields.list("loads");
  if (entries == nullptr) return;
  for (const Json& entry : *entries) {
    auto status = decodeTaskStatus(entry);
    if (!status) return fields.fail("loads");
    tasks.push_back(std::move(*status));
  }
}

}  // namespace

Result<WorkerHeartbeat> decodeHeartbeat(const Json& body) {
  if (!body.is_object()) return Result<WorkerHeartbeat>::failure("body is not a map");
  WorkerHeartbeat heartbeat;
  FieldReader fields(body);
  fields.text("host", heartbeat.host.text);
  fields.text("endpoint", heartbeat.endpoint);
  fields.text("rig", heartbeat.machineType);
  fields.text("yard", heartbeat.zone);
  fields.flag("loaners", heartbeat.spot);
  fields.count("shift", heartbeat.incarnation);
  fields.count("tally", heartbeat.sequence);
  fields.count("baton", heartbeat.fencingToken);
  fields.optionalAmount("recallS", heartbeat.timeUntilReclaimS);
  readTasks(fields, heartbeat.tasks);
  return fields.result(std::move(heartbeat));
}

Json encodeHeartbeat(const WorkerHeartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const TaskStatus& status : heartbeat.tasks) {
    Json entry{{"load", status.task.str()},
               {"try", status.attempt},
               {"stage", nameIn(kTaskStateNames, status.state, "unfamiliar")}};
    if (status.state == TaskState::ended) entry["cause"] = nameIn(kCauseNames, status.cause, "error");
    if (status.checkpointed) entry["stored"] = true;
    tasks.push_back(std::move(entry));
  }
  Json body{
      {"host", heartbeat.host.text}, {"endpoint", heartbeat.endpoint},  {"rig", heartbeat.machineType},
      {"yard", heartbeat.zone},      {"loaners", heartbeat.spot},       {"shift", heartbeat.incarnation},
      {"tally", heartbeat.sequence}, {"baton", heartbeat.fencingToken}, {"loads", std::move(tasks)}};
  if (heartbeat.timeUntilReclaimS) body["recallS"] = *heartbeat.timeUntilReclaimS;
  return body;
}

Json encodeCommands(std::uint64_t fencingToken, const std::vector<Command>& commands) {
  Json orders = Json::array();
  for (const Command& command : commands) {
    Json entry{{"verb", nameIn(kCommandVerbNames, command.verb, "halt")},
               {"load", command.task.str()},
               {"try", command.attempt}};
    if (command.verb == CommandVerb::stop) entry["windDownS"] = command.gracePeriodS;
    orders.push_back(std::move(entry));
  }
  return Json{{"baton", fencingToken}, {"orders", std::move(orders)}};
}

}  // namespace reachhoist::wire
