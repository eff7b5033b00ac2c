#include "wire/codec.hpp"

#include <cmath>

namespace reachhoist::wire {

namespace {

constexpr std::size_t kMaxDepth = 16;             // levels; the protocol's own messages use at most 5
constexpr std::size_t kMaxText = 200;             // bytes of a name: the state service's longest key
constexpr std::uint32_t kMaxTaskCount = 100'000;  // tasks of a job, from the protocol
constexpr std::size_t kMaxMachineTypes = 100;     // entries of a job's `rigs`
constexpr double kMaxAmount = 1e12;               // amounts above this are taken for garbage

// Text that is not UTF-8 would make later formatting throw.
bool validUtf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    std::size_t more = 0;
    std::uint32_t point = lead;
    if (lead >= 0xF0 && lead <= 0xF4) {
      more = 3;
      point = lead & 0x07U;
    } else if (lead >= 0xE0 && lead < 0xF0) {
      more = 2;
      point = lead & 0x0FU;
    } else if (lead >= 0xC2 && lead < 0xE0) {
      more = 1;
      point = lead & 0x1FU;
    } else if (lead >= 0x80) {
      return false;
    }
    if (text.size() - i <= more) return false;
    for (std::size_t k = 1; k <= more; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xC0U) != 0x80U) return false;
      point = point << 6U | (next & 0x3FU);
    }
    const bool overlong = (more == 2 && point < 0x800) || (more == 3 && point < 0x10000);
    if (overlong || (point >= 0xD800 && point < 0xE000) || point > 0x10FFFF) return false;
    i += more + 1;
  }
  return true;
}

// Walks the heads of CBOR items without building anything: the recursive decoder behind it must never see
// nesting that exhausts the stack, or a declared length that the body does not hold.
class Walker {
 public:
  explicit Walker(std::string_view bytes) : bytes_(bytes) {}

  const char* check() {
    std::vector<std::uint64_t> open;  // items still expected on each level
    open.push_back(1);
    while (!open.empty()) {
      if (open.back() == 0) {
        open.pop_back();
        continue;
      }
      --open.back();
      if (const char* wrong = item(open)) return wrong;
      if (open.size() > kMaxDepth) return "nested too deeply";
    }
    return at_ == bytes_.size() ? nullptr : "trailing bytes";
  }

 private:
  const char* item(std::vector<std::uint64_t>& open) {
    if (at_ >= bytes_.size()) return "body ends early";
    const auto head = static_cast<unsigned char>(bytes_[at_++]);
    const unsigned major = head >> 5U;
    const unsigned minor = head & 31U;
    if (minor > 27) return "indefinite lengths are not taken";
    std::uint64_t value = minor;
    if (minor >= 24) {
      const std::size_t width = std::size_t{1} << (minor - 24);
      if (bytes_.size() - at_ < width) return "body ends early";
      value = 0;
      for (std::size_t i = 0; i < width; ++i) value = value << 8U | static_cast<unsigned char>(bytes_[at_++]);
    }
    const std::uint64_t left = bytes_.size() - at_;
    switch (major) {
      case 0:
      case 1:
        return nullptr;
      case 2:
        return "byte strings are not taken";
      case 3:
        if (value > left) return "declared length beyond the body";
        if (!validUtf8(bytes_.substr(at_, value))) return "text that is not UTF-8";
        at_ += value;
        return nullptr;
      case 4:
        if (value > left) return "declared length beyond the body";
        open.push_back(value);
        return nullptr;
      case 5:
        if (value > left / 2) return "declared length beyond the body";
        open.push_back(2 * value);
        return nullptr;
      case 6:
        return "tags are not taken";
      default:
        return minor < 20 || minor == 24 ? "unknown simple value" : nullptr;
    }
  }

  std::string_view bytes_;
  std::size_t at_ = 0;
};

// Collects the first complaint about a map's fields.
class Fields {
 public:
  explicit Fields(const Json& map) : map_(map) {}

  void text(const char* key, std::string& out, bool mayBeEmpty = false) {
    const auto value = textField(map_, key);
    if (!value || (value->empty() && !mayBeEmpty) || value->size() > kMaxText) return complain(key);
    out = *value;
  }
  void amount(const char* key, double& out) {
    const auto value = amountField(map_, key);
    if (!value) return complain(key);
    out = *value;
  }
  void count(const char* key, std::uint64_t& out) {
    const auto value = countField(map_, key);
    if (!value) return complain(key);
    out = *value;
  }
  void flag(const char* key, bool& out) {
    const auto value = flagField(map_, key);
    if (!value) return complain(key);
    out = *value;
  }
  void optionalAmount(const char* key, std::optional<double>& out) {
    if (!present(key)) return;
    double value = 0;
    amount(key, value);
    out = value;
  }
  bool present(const char* key) const {
    const Json* found = field(map_, key);
    return found != nullptr && !found->is_null();
  }
  void complain(const char* key) {
    if (reason_.empty()) reason_ = std::string("field '") + key + "' is missing or invalid";
  }
  const std::string& reason() const { return reason_; }
  bool ok() const { return reason_.empty(); }

 private:
  const Json& map_;
  std::string reason_;
};

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

Result<Json> decodeBody(std::string_view bytes) {
  if (const char* wrong = Walker(bytes).check()) return Result<Json>::failure(wrong);
  Json body = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (body.is_discarded()) return Result<Json>::failure("not CBOR");
  return body;
}

std::string encodeBody(const Json& body) {
  std::string out;
  Json::to_cbor(body, out);
  return out;
}

const Json* field(const Json& map, const char* key) {
  if (!map.is_object()) return nullptr;
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &*found;
}

std::optional<std::string> textField(const Json& map, const char* key) {
  const Json* found = field(map, key);
  if (found == nullptr || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<std::uint64_t> countField(const Json& map, const char* key) {
  const Json* found = field(map, key);
  if (found == nullptr) return std::nullopt;
  if (found->is_number_unsigned()) return found->get<std::uint64_t>();
  if (found->is_number_integer() && found->get<std::int64_t>() >= 0) return found->get<std::uint64_t>();
  return std::nullopt;
}

std::optional<double> amountField(const Json& map, const char* key) {
  const Json* found = field(map, key);
  if (found == nullptr || !found->is_number()) return std::nullopt;
  const double value = found->get<double>();
  if (!std::isfinite(value) || value < 0 || value > kMaxAmount) return std::nullopt;
  return value;
}

std::optional<bool> flagField(const Json& map, const char* key) {
  const Json* found = field(map, key);
  if (found == nullptr || !found->is_boolean()) return std::nullopt;
  return found->get<bool>();
}

Result<JobSpec> decodeJob(const Json& body) {
  if (!body.is_object()) return Result<JobSpec>::failure("body is not a map");
  JobSpec job;
  Fields fields(body);
  std::string kind;
  std::string priority;
  std::uint64_t taskCount = 0;
  fields.text("ref", job.ref.text);
  if (fields.ok() && !validJobRef(job.ref.text)) fields.complain("ref");
  fields.text("lane", job.jobClass);
  fields.text("crew", job.team);
  fields.text("shape", kind);
  fields.text("rank", priority);
  fields.count("loads", taskCount);
  fields.amount("vcpus", job.each.vcpus);
  fields.amount("accelerators", job.each.accelerators);
  fields.amount("memoryGb", job.each.memoryGb);
  fields.flag("oneZone", job.oneZone);
  fields.flag("apart", job.apart);
  fields.flag("loaners", job.spot);
  fields.text("crate", job.image);
  fields.amount("sizeGb", job.sizeGb);
  fields.amount("expectS", job.expectS);
  fields.amount("stowEveryS", job.checkpointEveryS);
  fields.amount("stowS", job.checkpointS);
  fields.optionalAmount("dueS", job.dueS);
  if (fields.present("yard")) {
    job.zone.emplace();
    fields.text("yard", *job.zone);
  }
  if (fields.present("rigs")) {
    const Json& machineTypes = *field(body, "rigs");
    if (!machineTypes.is_array() || machineTypes.size() > kMaxMachineTypes) {
      fields.complain("rigs");
    } else {
      job.machineTypes.emplace();
      for (const Json& machineType : machineTypes) {
        if (!machineType.is_string() || machineType.get_ref<const std::string&>().size() > kMaxText) {
          fields.complain("rigs");
          break;
        }
        job.machineTypes->push_back(machineType.get<std::string>());
      }
    }
  }
  if (taskCount < 1 || taskCount > kMaxTaskCount) fields.complain("loads");
  job.taskCount = static_cast<std::uint32_t>(taskCount);
  if (kind == "sweep") {
    job.kind = JobKind::array;
  } else if (kind == "daemon") {
    job.kind = JobKind::service;
  } else if (kind == name(JobKind::gang)) {
    job.kind = JobKind::gang;
  } else {
    fields.complain("shape");
  }
  bool known = false;
  for (const Priority value : {Priority::best_effort, Priority::standard, Priority::high, Priority::prod}) {
    if (priority == name(value)) {
      job.priority = value;
      known = true;
    }
  }
  if (!known) fields.complain("rank");
  if (!fields.ok()) return Result<JobSpec>::failure(fields.reason());
  return job;
}

Json encodeJob(const JobSpec& job) {
  Json out{{"ref", job.ref.text},
           {"lane", job.jobClass},
           {"crew", job.team},
           {"shape", name(job.kind)},
           {"rank", name(job.priority)},
           {"loads", job.taskCount},
           {"vcpus", job.each.vcpus},
           {"accelerators", job.each.accelerators},
           {"memoryGb", job.each.memoryGb},
           {"oneZone", job.oneZone},
           {"apart", job.apart},
           {"loaners", job.spot},
           {"crate", job.image},
           {"sizeGb", job.sizeGb},
           {"expectS", job.expectS},
           {"stowEveryS", job.checkpointEveryS},
           {"stowS", job.checkpointS}};
  if (job.machineTypes) out["rigs"] = *job.machineTypes;
  if (job.zone) out["yard"] = *job.zone;
  if (job.dueS) out["dueS"] = *job.dueS;
  return out;
}

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

Result<std::vector<MachineType>> decodeCatalog(const Json& body) {
  const Json* machineTypes = field(body, "rigs");
  if (machineTypes == nullptr || !machineTypes->is_array())
    return Result<std::vector<MachineType>>::failure("no list 'rigs'");
  std::vector<MachineType> out;
  for (const Json& entry : *machineTypes) {
    MachineType machineType;
    Fields fields(entry);
    fields.text("label", machineType.label);
    fields.amount("vcpus", machineType.room.vcpus);
    fields.amount("accelerators", machineType.room.accelerators);
    fields.amount("memoryGb", machineType.room.memoryGb);
    fields.amount("cacheGb", machineType.cacheGb);
    fields.amount("pullGbPerS", machineType.pullGbPerS);
    fields.amount("rate", machineType.rate);
    fields.amount("marketPrice", machineType.marketPrice);
    fields.amount("bootS", machineType.bootS);
    const Json* zones = field(entry, "yards");
    if (zones == nullptr || !zones->is_array()) {
      fields.complain("yards");
    } else {
      for (const Json& zone : *zones)
        if (zone.is_string()) machineType.zones.push_back(zone.get<std::string>());
    }
    if (!fields.ok()) return Result<std::vector<MachineType>>::failure(fields.reason());
    out.push_back(std::move(machineType));
  }
  return out;
}

Json encodeCatalog(const std::vector<MachineType>& machineTypes) {
  Json list = Json::array();
  for (const MachineType& machineType : machineTypes) {
    list.push_back(Json{{"label", machineType.label},
                        {"vcpus", machineType.room.vcpus},
                        {"accelerators", machineType.room.accelerators},
                        {"memoryGb", machineType.room.memoryGb},
                        {"cacheGb", machineType.cacheGb},
                        {"pullGbPerS", machineType.pullGbPerS},
                        {"rate", machineType.rate},
                        {"marketPrice", machineType.marketPrice},
                        {"bootS", machineType.bootS},
                        {"yards", machineType.zones}});
  }
  return Json{{"rigs", std::move(list)}};
}

Result<HostEntry> decodeHost(const Json& body) {
  HostEntry host;
  Fields fields(body);
  std::string stage;
  fields.text("ref", host.ref.text);
  fields.text("endpoint", host.endpoint, true);
  fields.text("rig", host.machineType);
  fields.text("yard", host.zone);
  fields.flag("loaners", host.spot);
  fields.text("stage", stage);
  host.ageS = amountField(body, "ageS").value_or(0);
  if (stage == "starting") {
    host.stage = HostStage::starting;
  } else if (stage == "running") {
    host.stage = HostStage::running;
  } else if (stage == "failed") {
    host.stage = HostStage::failed;
  } else {
    fields.complain("stage");
  }
  if (!fields.ok()) return Result<HostEntry>::failure(fields.reason());
  return host;
}

}  // namespace reachhoist::wire
