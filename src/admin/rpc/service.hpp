// The gRPC service that operators' tools call; shares.proto documents its methods and errors.
#pragma once

#include "admin/rpc/shares.grpc.pb.h"
#include "admin/rpc/state_loop.hpp"

namespace reachhoist::admin {

// The methods run in threads of the gRPC server and block until the StateLoop answers. Deadlines are
// wall-clock times.
class SharesService final : public v1::Shares::Service {
 public:
  // `loop` must already be started and must outlive the service.
  explicit SharesService(StateLoop& loop) : loop_(loop) {}

  grpc::Status Get(grpc::ServerContext* context, const v1::GetRequest* request, v1::Table* reply) override;
  grpc::Status Set(grpc::ServerContext* context, const v1::SetRequest* request, v1::SetReply* reply) override;
  grpc::Status Status(grpc::ServerContext* context, const v1::StatusRequest* request,
                      v1::StatusReply* reply) override;
  grpc::Status Watch(grpc::ServerContext* context, const v1::StatusRequest* request,
                     grpc::ServerWriter<v1::StatusReply>* writer) override;

 private:
  grpc::Status readTable(StateLoop::Deadline deadline, shares::Table& table);
  grpc::Status readStatus(StateLoop::Deadline deadline, v1::StatusReply& reply);

  StateLoop& loop_;
};

}  // namespace reachhoist::admin
