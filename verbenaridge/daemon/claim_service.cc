#include "verbenaridge/daemon/claim_service.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/claim_codec/claim_codec.h"
#include "verbenaridge/daemon/conversions.h"

namespace verbenaridge::daemon {

ClaimService::ClaimService(asio::io_context& io_context, const Clock& clock, RandomSource& random,
                           store::KeyValueStore& store)
    : clock_(clock), store_(store), timer_(io_context), book_({}, clock, random, *this) {}

bool ClaimService::MayBeRunning(const HolderId& holder) const {
  const auto it = incarnations_.find(holder.host);
  // A host that is not a live member may be cut off and still running.
  return it == incarnations_.end() || it->second <= holder.incarnation;
}

claims::CallTag ClaimService::Remember(std::shared_ptr<wire::ServerCall> call) {
  calls_.emplace(++last_tag_, std::move(call));
  return last_tag_;
}

void ClaimService::Claim(const wire::ClaimRequest& request,
                         std::shared_ptr<wire::ServerCall> call) {
  const claims::CallTag tag = Remember(std::move(call));
  Execute(book_.OnClaim(tag, ToClaimRequest(request)));
}

void ClaimService::Record(const wire::RecordOutcomeRequest& request,
                          std::shared_ptr<wire::ServerCall> call) {
  const claims::CallTag tag = Remember(std::move(call));
  Execute(book_.OnOutcome(tag, ToOutcomeRequest(request)));
}

void ClaimService::LookUp(const wire::LookUpClaimRequest& request,
                          std::shared_ptr<wire::ServerCall> call) {
  const claims::CallTag tag = Remember(std::move(call));
  Execute(book_.OnLookUp(tag, ToClaimKey(request.key)));
}

void ClaimService::Execute(const claims::WriterActions& actions) {
  for (const claims::WriterAction& action : actions) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
  ArmTimer();
}

void ClaimService::Perform(const claims::ReadBucket& read) {
  store_.Read(claim_codec::StoreKey(read.bucket), [this, read](Result<store::StoredValue> reply) {
    if (reply.has_error()) {
      Execute(book_.OnRead(read.bucket, read.operation, reply.error()));
      return;
    }
    auto decoded = claim_codec::DecodeBucket(reply.value().value);
    if (decoded.has_error()) {
      Execute(book_.OnRead(read.bucket, read.operation, decoded.error()));
      return;
    }
    Execute(book_.OnRead(read.bucket, read.operation,
                         claims::VersionedBucket{.version = reply.value().version,
                                                 .value = std::move(decoded.value())}));
  });
}

void ClaimService::Perform(const claims::WriteBucket& write) {
  store_.CompareAndSwap(
      claim_codec::StoreKey(write.bucket), write.expected_version,
      claim_codec::EncodeBucket(write.value),
      [this, bucket = write.bucket, operation = write.operation](Result<store::KeyVersion> reply) {
        Execute(book_.OnWrite(bucket, operation, reply));
      });
}

void ClaimService::Perform(const claims::SendReply& send) {
  auto node = calls_.extract(send.tag);
  if (!node.empty()) node.mapped()->Answer(ToClaimReply(send.reply));
}

void ClaimService::ArmTimer() {
  const auto wake = book_.next_wake();
  timer_.cancel();
  if (!wake) return;
  timer_.expires_after(std::max(Duration{}, *wake - clock_.Now()));
  timer_.async_wait([this](std::error_code error) {
    if (!error) Execute(book_.OnTimer());
  });
}

}  // namespace verbenaridge::daemon
