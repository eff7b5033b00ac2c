#include "wire/types.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "config/constants.hpp"
#include "wire/job_names.hpp"

namespace reachhoist::wire {

namespace {
constexpr std::string_view kJobRefPrefix = "job-";
constexpr std::size_t kMaxRefDigits = 18;

constexpr EnumName<JobStage> kJobStageNames[] = {{JobStage::pending, "pending"},
                                                 {JobStage::running, "running"},
                                                 {JobStage::done, "done"},
                                                 {JobStage::cancelled, "cancelled"}};

// How often the amount `needed` fits into `available`, at most `maxCount`. It must fit at least once.
std::uint32_t timesFitting(double needed, double available, std::uint32_t maxCount) {
  if (needed <= 0) return maxCount;
  const double times = std::floor((available + constants::kResourceTolerance) / needed);
  return times < maxCount ? static_cast<std::uint32_t>(times) : maxCount;
}
}  // namespace

bool isValidJobRef(std::string_view text) {
  if (!text.starts_with(kJobRefPrefix)) return false;
  text.remove_prefix(kJobRefPrefix.size());
  return !text.empty() && text.size() <= kMaxRefDigits &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<TaskId> parseTaskId(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || !isValidJobRef(text.substr(0, slash))) return std::nullopt;
  const auto digits = text.substr(slash + 1);
  TaskId task{JobRef{std::string(text.substr(0, slash))}, 0};
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), task.index);
  if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return task;
}

std::string_view name(JobKind kind) { return nameIn(kJobKindNames, kind, "sweep"); }
std::string_view name(Priority priority) { return nameIn(kPriorityNames, priority, "standard"); }
std::string_view name(JobStage stage) { return nameIn(kJobStageNames, stage, "pending"); }

Resources& Resources::operator+=(const Resources& other) {
  vcpus += other.vcpus;
  accelerators += other.accelerators;
  memoryGb += other.memoryGb;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  vcpus -= other.vcpus;
  accelerators -= other.accelerators;
  memoryGb -= other.memoryGb;
  return *this;
}

bool Resources::fitsIn(const Resources& capacity) const {
  return vcpus <= capacity.vcpus + constants::kResourceTolerance &&
         accelerators <= capacity.accelerators + constants::kResourceTolerance &&
         memoryGb <= capacity.memoryGb + constants::kResourceTolerance;
}

std::uint32_t Resources::countFittingIn(const Resources& capacity, std::uint32_t maxCount) const {
  if (!fitsIn(capacity)) return 0;
  std::uint32_t count = timesFitting(vcpus, capacity.vcpus, maxCount);
  count = timesFitting(accelerators, capacity.accelerators, count);
  return timesFitting(memoryGb, capacity.memoryGb, count);
}

Resources operator*(const Resources& taskResources, std::uint32_t count) {
  return Resources{taskResources.vcpus * count, taskResources.accelerators * count,
                   taskResources.memoryGb * count};
}

const MachineType* findMachineType(const std::vector<MachineType>& catalog, std::string_view name) {
  const auto found = std::find_if(catalog.begin(), catalog.end(),
                                  [&](const MachineType& machineType) { return machineType.name == name; });
  return found == catalog.end() ? nullptr : &*found;
}

bool JobSpec::allowsMachineType(std::string_view machineType) const {
  return !allowedMachineTypes || std::find(allowedMachineTypes->begin(), allowedMachineTypes->end(),
                                           machineType) != allowedMachineTypes->end();
}

}  // namespace reachhoist::wire
