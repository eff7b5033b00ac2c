// Reports of workers, and the orders they are answered with.
#include "wire/fields.hpp"

namespace reachhoist::wire {

namespace {

TaskStage taskStage(const std::string& text) {
  if (text == "pulling") return TaskStage::pulling;
  if (text == "waiting") return TaskStage::waiting;
  if (text == "running") return TaskStage::running;
  if (text == "saving") return TaskStage::saving;
  if (text == "ended") return TaskStage::ended;
  return TaskStage::unfamiliar;
}

std::string_view name(TaskStage stage) {
  switch (stage) {
    case TaskStage::pulling:
      return "pulling";
    case TaskStage::waiting:
      return "waiting";
    case TaskStage::running:
      return "running";
    case TaskStage::saving:
      return "saving";
    case TaskStage::ended:
      return "ended";
    case TaskStage::unfamiliar:
      return "unfamiliar";
  }
  return "ended";
}

constexpr std::pair<Cause, std::string_view> kCauses[] = {
    {Cause::done, "done"},      {Cause::halted, "halted"}, {Cause::error, "error"},
    {Cause::noRoom, "no_room"}, {Cause::inUse, "in_use"},  {Cause::unknown, "unknown"},
    {Cause::peers, "peers"},    {Cause::alone, "alone"}};

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

std::string_view name(Verb verb) {
  switch (verb) {
    case Verb::start:
      return "launch";
    case Verb::stop:
      return "halt";
    case Verb::forget:
      return "reap";
  }
  return "halt";
}

}  // namespace

Result<Report> decodeReport(const Json& body) {
  if (!body.is_object()) return Result<Report>::failure("body is not a map");
  Report report;
  Fields fields(body);
  fields.text("host", report.host.text);
  fields.text("endpoint", report.endpoint);
  fields.text("rig", report.machineType);
  fields.text("yard", report.zone);
  fields.flag("loaners", report.spot);
  fields.count("shift", report.session);
  fields.count("tally", report.sequence);
  fields.count("baton", report.token);
  fields.optionalAmount("recallS", report.spotNoticeS);
  const Json* taskCount = field(body, "loads");
  if (taskCount == nullptr || !taskCount->is_array()) {
    fields.complain("loads");
  } else {
    for (const Json& entry : *taskCount) {
      TaskReport reported;
      const auto id = parseTaskId(textField(entry, "load").value_or(""));
      const auto attempt = countField(entry, "try");
      const auto stage = textField(entry, "stage");
      if (!id || !attempt || !stage) {
        fields.complain("loads");
        break;
      }
      reported.task = *id;
      reported.attempt = *attempt;
      reported.stage = taskStage(*stage);
      if (reported.stage == TaskStage::ended) {
        const auto why = cause(textField(entry, "cause").value_or(""));
        if (!why) reported.stage = TaskStage::unfamiliar;
        reported.cause = why.value_or(Cause::none);
      }
      reported.stored = flagField(entry, "stored").value_or(false);
      report.tasks.push_back(std::move(reported));
    }
  }
  if (!fields.ok()) return Result<Report>::failure(fields.reason());
  return report;
}

Json encodeReport(const Report& report) {
  Json taskCount = Json::array();
  for (const TaskReport& reported : report.tasks) {
    Json entry{{"load", reported.task.str()}, {"try", reported.attempt}, {"stage", name(reported.stage)}};
    if (reported.stage == TaskStage::ended) entry["cause"] = name(reported.cause);
    if (reported.stored) entry["stored"] = true;
    taskCount.push_back(std::move(entry));
  }
  Json out{{"host", report.host.text}, {"endpoint", report.endpoint}, {"rig", report.machineType},
           {"yard", report.zone},      {"loaners", report.spot},      {"shift", report.session},
           {"tally", report.sequence}, {"baton", report.token},       {"loads", std::move(taskCount)}};
  if (report.spotNoticeS) out["recallS"] = *report.spotNoticeS;
  return out;
}

Json encodeOrders(std::uint64_t token, const std::vector<Order>& orders) {
  Json list = Json::array();
  for (const Order& order : orders) {
    Json entry{{"verb", name(order.verb)}, {"load", order.task.str()}, {"try", order.attempt}};
    if (order.verb == Verb::stop) entry["windDownS"] = order.graceS;
    list.push_back(std::move(entry));
  }
  return Json{{"baton", token}, {"orders", std::move(list)}};
}

}  // namespace reachhoist::wire
