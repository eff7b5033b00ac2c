#include "admin/rpc/commands.hpp"

#include <grpcpp/grpcpp.h>

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

#include "admin/rpc/shares.grpc.pb.h"

namespace reachhoist::admin {

namespace {

constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr double kMillisecondsPerSecond = 1000;

std::unique_ptr<v1::Shares::Stub> connect(const CommandOptions& options) {
  return v1::Shares::NewStub(grpc::CreateChannel(options.address, grpc::InsecureChannelCredentials()));
}

void setDeadline(grpc::ClientContext& context, const CommandOptions& options) {
  context.set_wait_for_ready(true);
  context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(static_cast<long>(
                                                              options.deadlineS * kMillisecondsPerSecond)));
}

const char* codeName(grpc::StatusCode code) {
  switch (code) {
    case grpc::StatusCode::ABORTED:
      return "aborted";
    case grpc::StatusCode::INVALID_ARGUMENT:
      return "invalid";
    case grpc::StatusCode::FAILED_PRECONDITION:
      return "failed_precondition";
    case grpc::StatusCode::DATA_LOSS:
      return "data_loss";
    case grpc::StatusCode::UNAVAILABLE:
      return "unavailable";
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return "deadline_exceeded";
    default:
      return "error";
  }
}

int reportFailure(const grpc::Status& status) {
  std::cerr << "reachhoist-admin: " << codeName(status.error_code()) << ": " << status.error_message()
            << "\n";
  return kFailure;
}

// Returns 128 random bits in hexadecimal digits.
std::string newRequestId() {
  constexpr int kWords = 4;  // of 32 bits
  std::random_device randomDevice;
  std::ostringstream digits;
  for (int i = 0; i < kWords; ++i) digits << std::hex << std::setw(8) << std::setfill('0') << randomDevice();
  return digits.str();
}

// Parses GROUP=WEIGHT, split at the last equals sign. Returns false if the argument is malformed.
bool parseShare(const std::string& argument, v1::Share& share) {
  const auto equals = argument.rfind('=');
  if (equals == std::string::npos || equals + 1 == argument.size()) return false;
  char* end = nullptr;
  share.set_group(argument.substr(0, equals));
  share.set_weight(std::strtod(argument.c_str() + equals + 1, &end));
  return *end == '\0';
}

// Fills the request from the options. If a share is malformed, reports it on standard error and returns
// false.
bool fillRequest(const SetOptions& change, v1::SetRequest& request) {
  request.set_request_id(change.requestId.empty() ? newRequestId() : change.requestId);
  if (change.expectedGeneration) request.set_expected_generation(*change.expectedGeneration);
  if (change.others) request.set_others(*change.others);
  request.set_replace(change.replace);
  for (const std::string& argument : change.shares) {
    if (parseShare(argument, *request.add_set())) continue;
    std::cerr << "reachhoist-admin: invalid: argument " << argument << " must have the form GROUP=WEIGHT\n";
    return false;
  }
  for (const std::string& group : change.remove) request.add_remove(group);
  return true;
}

void printStatus(const v1::StatusReply& reply) {
  std::cout << "generation=" << reply.generation() << " reported=" << reply.reported_generation() << "\n";
  std::cout << std::fixed << std::setprecision(4);
  for (const v1::GroupStatus& group : reply.groups())
    std::cout << group.group() << " entitled=" << group.entitled() << " running=" << group.running()
              << " demand=" << group.demand() << " converged=" << (group.converged() ? "yes" : "no") << "\n";
  std::cout << std::flush;
}

}  // namespace

int getShares(const CommandOptions& options) {
  grpc::ClientContext context;
  setDeadline(context, options);
  v1::Table table;
  if (const auto status = connect(options)->Get(&context, {}, &table); !status.ok())
    return reportFailure(status);
  std::cout << "generation=" << table.generation() << "\n";
  for (const v1::Share& share : table.shares()) std::cout << share.group() << "=" << share.weight() << "\n";
  std::cout << "others=" << table.others() << "\n";
  return kSuccess;
}

int setShares(const CommandOptions& options, const SetOptions& change) {
  v1::SetRequest request;
  if (!fillRequest(change, request)) return kFailure;
  grpc::ClientContext context;
  setDeadline(context, options);
  v1::SetReply reply;
  const auto status = connect(options)->Set(&context, request, &reply);
  if (!status.ok()) {
    // The operator can repeat the request safely with this id, even if the request has been applied.
    std::cerr << "request_id=" << request.request_id() << "\n";
    return reportFailure(status);
  }
  std::cout << "generation=" << reply.generation() << (reply.repeated() ? " repeated" : "")
            << " request_id=" << request.request_id() << "\n";
  return kSuccess;
}

int showStatus(const CommandOptions& options) {
  grpc::ClientContext context;
  setDeadline(context, options);
  v1::StatusReply reply;
  if (const auto status = connect(options)->Status(&context, {}, &reply); !status.ok())
    return reportFailure(status);
  printStatus(reply);
  return kSuccess;
}

int watchStatus(const CommandOptions& options) {
  grpc::ClientContext context;
  const auto stub = connect(options);
  const auto reader = stub->Watch(&context, {});
  for (v1::StatusReply reply; reader->Read(&reply);) printStatus(reply);
  const auto status = reader->Finish();
  return status.ok() ? kSuccess : reportFailure(status);
}

}  // namespace reachhoist::admin
