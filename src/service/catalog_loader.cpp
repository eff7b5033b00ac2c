#include "service/catalog_loader.hpp"

#include <utility>

namespace reachhoist::service {

namespace {
constexpr const char* kCatalogKey = "catalog";
}  // namespace

void CatalogLoader::tick() {
  if (context_.catalog || requestInFlight_ || context_.now < retryAt_) return;
  requestInFlight_ = true;
  wire::Call call;
  call.service = wire::Service::cloud;
  call.endpoint = context_.settings.endpoints.cloud;
  call.method = "GET";
  call.path = "/catalog";
  call.timeout = constants::kCloudCallTimeout;
  context_.calls.start(std::move(call), [this](const wire::CallResult& result) { onCloudResponse(result); });
}

void CatalogLoader::onCloudResponse(const wire::CallResult& result) {
  requestInFlight_ = false;
  retryAt_ = context_.now + constants::kCatalogRetryInterval;
  auto catalog = wire::decodeCatalog(result.body);
  if (!result.ok() || !catalog) return loadCopy();
  context_.catalog = std::move(*catalog);
  storeCopy();
}

void CatalogLoader::storeCopy() {
  state::Transaction transaction;
  transaction.writes.push_back({kCatalogKey, wire::encodeCatalog(*context_.catalog), std::nullopt});
  context_.state.transact(context_.now, state::Urgency::background, transaction, [](const auto&) {});
}

void CatalogLoader::loadCopy() {
  context_.state.get(context_.now, state::Urgency::placement, kCatalogKey,
                     [this](const wire::CallResult& result) { onCopyRead(result); });
}

void CatalogLoader::onCopyRead(const wire::CallResult& result) {
  const Json* value = wire::field(result.body, "value");
  if (!result.ok() || value == nullptr || context_.catalog) return;
  auto catalog = wire::decodeCatalog(*value);
  if (!catalog) {
    context_.logEvent(LogLevel::error, "bad_record", {{"key", kCatalogKey}, {"why", catalog.reason()}});
    return;
  }
  context_.catalog = std::move(*catalog);
}

}  // namespace reachhoist::service
