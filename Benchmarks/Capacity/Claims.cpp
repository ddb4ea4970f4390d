#include "Meter.h"
#include "Roles.h"
#include <LibClaims/Claims.h>

namespace Comfreysail::Capacity {

namespace {

constexpr size_t rounds = 200;

/// Adds claims in groups of this size, as they collect while a transaction is in progress. Every claim is granted, sent
/// and finished. Returns the microseconds for each claim and sets the number of store transactions for each claim.
double measureClaim(size_t groupSize, double& transactionsPerClaim)
{
    Core::WallTime now = Core::fromUnixMilliseconds(1'800'000'000'000);
    Claims::ClaimBatcher batcher("entry-1/1");
    size_t claims = 0;
    auto runTransaction = [&](std::vector<Claims::ClaimDelivery>& deliveries) {
        auto const batch = batcher.takeBatch(now);
        if (!batch)
            return;
        Claims::BatchCommitted committed;
        committed.versions.assign(batch->writes.size(), 1);
        deliveries = batcher.complete(batch->id, committed, now);
    };
    auto const start = processorMicroseconds();
    for (size_t round = 0; round < rounds; ++round) {
        now += std::chrono::milliseconds(5);
        for (size_t index = 0; index < groupSize; ++index)
            (void)batcher.add({ .rowKey = Claims::claimRowKey("orders", "civil", std::to_string(++claims)),
                                  .fingerprint = claims,
                                  .startBy = now + std::chrono::seconds(2),
                                  .timeout = std::chrono::seconds(2) },
                now);
        std::vector<Claims::ClaimDelivery> deliveries;
        runTransaction(deliveries);
        for (auto const& delivery : deliveries) {
            (void)batcher.noteSendStarted(delivery.token, now);
            batcher.note(delivery.token, Claims::AnswerReceived { 201 }, now);
        }
        std::vector<Claims::ClaimDelivery> none;
        runTransaction(none);
    }
    transactionsPerClaim = static_cast<double>(batcher.counts().transactions) / static_cast<double>(claims);
    return (processorMicroseconds() - start) / static_cast<double>(claims);
}

}

std::vector<Series> measureClaims()
{
    Series time { "claims", "claim_microseconds", "group", {} };
    Series transactions { "claims", "transactions_per_claim", "group", {} };
    for (size_t group : { 1, 10, 50 }) {
        double perClaim = 0;
        auto const size = static_cast<double>(group);
        time.points.push_back({ size, measureClaim(group, perClaim) });
        transactions.points.push_back({ size, perClaim });
    }
    return { time, transactions };
}

}
