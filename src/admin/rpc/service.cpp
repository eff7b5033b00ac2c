#include "admin/rpc/service.hpp"

#include <algorithm>

#include "wire/http_status.hpp"

namespace reachhoist::admin {

namespace {

using grpc::StatusCode;
using std::chrono::system_clock;

constexpr std::chrono::seconds kMaxCallDuration{30};     // limit for callers with no deadline or a later one
constexpr std::chrono::seconds kCancelCheckInterval{1};  // how often a watch checks for cancellation

StateLoop::Deadline deadlineOf(const grpc::ServerContext& context) {
  return std::min<StateLoop::Deadline>(context.deadline(), system_clock::now() + kMaxCallDuration);
}

grpc::Status errorStatus(StatusCode code, const config::FieldError& problem) {
  return {code, problem.field + " " + problem.reason};
}

grpc::Status unavailableStatus() {
  return {StatusCode::UNAVAILABLE, "the key-value store gave no answer in time"};
}

grpc::Status toGrpcStatus(const EditResult& result) {
  switch (result.verdict) {
    case EditVerdict::changed:
    case EditVerdict::repeated:
      return grpc::Status::OK;
    case EditVerdict::staleGeneration:
      return errorStatus(StatusCode::ABORTED, result.problem);
    case EditVerdict::invalid:
      return errorStatus(StatusCode::INVALID_ARGUMENT, result.problem);
    case EditVerdict::tableAbsent:
      return errorStatus(StatusCode::FAILED_PRECONDITION, result.problem);
    case EditVerdict::tableUndecodable:
      return errorStatus(StatusCode::DATA_LOSS, result.problem);
    case EditVerdict::unavailable:
      return errorStatus(StatusCode::UNAVAILABLE, result.problem);
  }
  return {StatusCode::INTERNAL, "the verdict of the change is unknown"};
}

// Converts the request to a change. Returns the first error in the request, if it has one.
std::optional<config::FieldError> toChange(const v1::SetRequest& request, shares::Change& change) {
  const auto invalidGroup = [](const std::string& name) {
    return config::FieldError{"group " + name, "must be like team:NAME, class:NAME or team:NAME/class:NAME"};
  };
  change.requestId = request.request_id();
  if (request.has_expected_generation()) change.expectedGeneration = request.expected_generation();
  if (request.has_others()) change.othersWeight = request.others();
  change.replace = request.replace();
  for (const v1::Share& share : request.set()) {
    const auto group = shares::parseGroup(share.group());
    if (!group) return invalidGroup(share.group());
    change.set.push_back(shares::Share{*group, share.weight()});
  }
  for (const std::string& name : request.remove()) {
    const auto group = shares::parseGroup(name);
    if (!group) return invalidGroup(name);
    change.remove.push_back(*group);
  }
  return std::nullopt;
}

// Copies the stored status record into the reply.
void fillGroups(const wire::Json& record, v1::StatusReply& reply) {
  reply.set_reported_generation(wire::countField(record, "generation").value_or(0));
  const wire::Json* groups = wire::field(record, "groups");
  if (groups == nullptr || !groups->is_array()) return;
  for (const wire::Json& entry : *groups) {
    v1::GroupStatus* group = reply.add_groups();
    group->set_group(wire::textField(entry, "group").value_or(""));
    group->set_entitled(wire::amountField(entry, "entitled").value_or(0));
    group->set_running(wire::amountField(entry, "running").value_or(0));
    group->set_demand(wire::amountField(entry, "demand").value_or(0));
    group->set_converged(wire::flagField(entry, "converged").value_or(false));
  }
}

}  // namespace

grpc::Status SharesService::readTable(StateLoop::Deadline deadline, shares::Table& table) {
  const auto result = loop_.get(shares::kTableKey, deadline);
  if (result && result->status == http::kNotFound)
    return {StatusCode::FAILED_PRECONDITION, "table is not stored, because fair shares are disabled"};
  const wire::Json* value = result ? wire::field(result->body, "value") : nullptr;
  if (!result || !result->ok() || value == nullptr) return unavailableStatus();
  if (const auto problem = shares::decode(*value, table)) return errorStatus(StatusCode::DATA_LOSS, *problem);
  return grpc::Status::OK;
}

grpc::Status SharesService::readStatus(StateLoop::Deadline deadline, v1::StatusReply& reply) {
  shares::Table table;
  if (auto status = readTable(deadline, table); !status.ok()) return status;
  reply.set_generation(table.generation);
  const auto result = loop_.get(shares::kStatusKey, deadline);
  if (!result || (!result->ok() && result->status != http::kNotFound)) return unavailableStatus();
  if (const wire::Json* value = wire::field(result->body, "value"); value != nullptr)
    fillGroups(*value, reply);
  return grpc::Status::OK;
}

grpc::Status SharesService::Get(grpc::ServerContext* context, const v1::GetRequest*, v1::Table* reply) {
  shares::Table table;
  if (auto status = readTable(deadlineOf(*context), table); !status.ok()) return status;
  reply->set_generation(table.generation);
  reply->set_others(table.othersWeight);
  for (const shares::Share& share : table.shares) {
    v1::Share* entry = reply->add_shares();
    entry->set_group(share.group.str());
    entry->set_weight(share.weight);
  }
  return grpc::Status::OK;
}

grpc::Status SharesService::Set(grpc::ServerContext* context, const v1::SetRequest* request,
                                v1::SetReply* reply) {
  shares::Change change;
  if (const auto problem = toChange(*request, change))
    return errorStatus(StatusCode::INVALID_ARGUMENT, *problem);
  const EditResult result = loop_.edit(std::move(change), deadlineOf(*context));
  reply->set_generation(result.generation);
  reply->set_repeated(result.verdict == EditVerdict::repeated);
  return toGrpcStatus(result);
}

grpc::Status SharesService::Status(grpc::ServerContext* context, const v1::StatusRequest*,
                                   v1::StatusReply* reply) {
  return readStatus(deadlineOf(*context), *reply);
}

grpc::Status SharesService::Watch(grpc::ServerContext* context, const v1::StatusRequest*,
                                  grpc::ServerWriter<v1::StatusReply>* writer) {
  std::uint64_t seenChanges = 0;
  for (bool first = true; !context->IsCancelled() && system_clock::now() < context->deadline();) {
    if (!loop_.awaitStatusChange(seenChanges, system_clock::now() + kCancelCheckInterval) && !first) continue;
    first = false;
    v1::StatusReply reply;
    auto status = readStatus(system_clock::now() + kMaxCallDuration, reply);
    if (!status.ok()) return status;
    if (!writer->Write(reply)) break;
  }
  return grpc::Status::OK;
}

}  // namespace reachhoist::admin
