#include "ClaimCoordinator.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Claims::ClaimAnswer;
using Core::Error;
using Core::ErrorKind;
using HTTP::awaitable;

namespace {

constexpr auto storeCallTimeout = std::chrono::seconds(2);

Claims::StoredRow storedRow(uint64_t version, std::string value)
{
    return { static_cast<int64_t>(version), std::move(value) };
}

Claims::BatchResult toBatchResult(Core::Result<Store::TransactionResult> const& result)
{
    if (isError(result)) {
        if (errorOf(result).kind == ErrorKind::StoreOutcomeUnknown)
            return Claims::BatchAnswerLost {};
        return Claims::BatchStoreDown {};
    }
    auto const& transaction = valueOf(result);
    if (transaction.isCommitted())
        return Claims::BatchCommitted { { transaction.versions.begin(), transaction.versions.end() } };
    Claims::BatchConflicted conflicted;
    for (auto const& conflict : transaction.conflicts)
        conflicted.conflicts.push_back({ conflict.index, storedRow(conflict.version, conflict.value) });
    return conflicted;
}

/// Collects the results of the reads of one batch, which arrive on any thread.
struct ReadCollector {
    std::mutex mutex;
    std::vector<std::optional<Claims::StoredRow>> rows;
    size_t missing { 0 };
};

}

bool needsClaim(RequestContext const& context)
{
    return !context.classification.isIdempotent && context.classification.idempotencyKey.has_value();
}

struct ClaimCoordinator::Waiter {
    explicit Waiter(asio::any_io_executor const& strand)
        : timer(strand, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer timer;          ///< Accessed only on the strand of the request.
    std::optional<ClaimAnswer> answer; ///< Guarded by ClaimCoordinator::m_mutex.
};

ClaimCoordinator::ClaimCoordinator(Store::StorePort store, std::string holderName)
    : m_store(std::move(store))
    , m_batcher(std::move(holderName))
{
}

awaitable<ClaimAnswer> ClaimCoordinator::acquire(RequestContext& context)
{
    auto const& classification = context.classification;
    auto const left = std::chrono::floor<std::chrono::milliseconds>(context.deadline() - Core::monotonicNow());
    Claims::ClaimRequest request;
    request.rowKey
        = Claims::claimRowKey(classification.service, classification.department, *classification.idempotencyKey);
    request.fingerprint = context.fingerprint;
    request.startBy = Core::wallNow() + left;
    request.timeout = left;
    auto waiter = std::make_shared<Waiter>(context.exchange.strand());
    Claims::ClaimToken token = 0;
    {
        std::lock_guard const lock(m_mutex);
        auto const added = m_batcher.add(request, Core::wallNow());
        if (auto const* const stored = std::get_if<Claims::StoredStatus>(&added))
            co_return ClaimAnswer { *stored };
        if (auto const* const error = std::get_if<Error>(&added))
            co_return ClaimAnswer { *error };
        token = std::get<Claims::ClaimToken>(added);
        m_waiters.emplace(token, waiter);
    }
    startDueBatch();
    StopSignal::Scope const scope(context.stopSignal, [&waiter] { waiter->timer.cancel(); });
    bool isDecided = false;
    {
        std::lock_guard const lock(m_mutex);
        isDecided = waiter->answer.has_value();
    }
    if (!isDecided)
        co_await waiter->timer.async_wait(HTTP::useTuple);
    std::lock_guard const lock(m_mutex);
    m_waiters.erase(token);
    if (!waiter->answer) {
        m_batcher.cancel(token, Core::wallNow());
        auto const reason = context.stopSignal.reason().value_or(ErrorKind::Internal);
        co_return ClaimAnswer { Error { reason, "while the claim was written" } };
    }
    if (std::holds_alternative<Claims::ClaimGranted>(*waiter->answer)) {
        context.claim = token;
        context.claimStartBy = std::get<Claims::ClaimGranted>(*waiter->answer).startBy;
    }
    co_return *waiter->answer;
}

Core::Result<Core::Empty> ClaimCoordinator::noteSendStarted(RequestContext const& context)
{
    std::lock_guard const lock(m_mutex);
    return m_batcher.noteSendStarted(*context.claim, Core::wallNow());
}

void ClaimCoordinator::noteEvent(RequestContext const& context, Claims::ClaimEvent const& event)
{
    {
        std::lock_guard const lock(m_mutex);
        m_batcher.note(*context.claim, event, Core::wallNow());
    }
    startDueBatch();
}

void ClaimCoordinator::finish(RequestContext& context)
{
    if (!context.claim)
        return;
    // Releases a claim that was never used. After a response or an unknown outcome this event has no effect.
    noteEvent(context, Claims::GaveUp {});
    context.claim.reset();
}

void ClaimCoordinator::tick()
{
    {
        std::lock_guard const lock(m_mutex);
        deliver(m_batcher.expireWaits(Core::wallNow()));
    }
    startDueBatch();
}

bool ClaimCoordinator::isIdle() const
{
    std::lock_guard const lock(m_mutex);
    return m_batcher.isIdle();
}

void ClaimCoordinator::deliver(std::vector<Claims::ClaimDelivery> const& deliveries)
{
    for (auto const& delivery : deliveries) {
        auto const found = m_waiters.find(delivery.token);
        if (found == m_waiters.end())
            continue;
        auto waiter = found->second;
        waiter->answer = delivery.answer;
        asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
    }
}

void ClaimCoordinator::startDueBatch()
{
    std::optional<Claims::ClaimBatch> batch;
    {
        std::lock_guard const lock(m_mutex);
        batch = m_batcher.takeBatch(Core::wallNow());
    }
    if (batch)
        run(*batch);
}

void ClaimCoordinator::run(Claims::ClaimBatch const& batch)
{
    if (batch.writes.empty()) {
        readRows(batch);
        return;
    }
    std::vector<Store::Operation> operations;
    operations.reserve(batch.writes.size());
    for (auto const& write : batch.writes) {
        operations.push_back({ Store::Operation::Kind::Put, std::string(Claims::claimTable), write.key,
            write.expectedVersion, write.value });
    }
    m_store.transact(std::move(operations), Core::monotonicNow() + storeCallTimeout,
        [self = shared_from_this(), id = batch.id](
            Core::Result<Store::TransactionResult> const& result) { self->complete(id, toBatchResult(result)); });
}

void ClaimCoordinator::readRows(Claims::ClaimBatch const& batch)
{
    auto collector = std::make_shared<ReadCollector>();
    collector->rows.resize(batch.reads.size());
    collector->missing = batch.reads.size();
    for (size_t index = 0; index < batch.reads.size(); ++index) {
        m_store.read(std::string(Claims::claimTable), batch.reads[index], Core::monotonicNow() + storeCallTimeout,
            [self = shared_from_this(), collector, index, id = batch.id](
                Core::Result<std::optional<Store::Row>> const& result) {
                {
                    std::lock_guard const lock(collector->mutex);
                    if (!isError(result)) {
                        auto const& row = valueOf(result);
                        collector->rows[index] = row ? storedRow(row->version, row->value) : Claims::StoredRow {};
                    }
                    if (--collector->missing > 0)
                        return;
                }
                self->complete(id, Claims::BatchRead { collector->rows });
            });
    }
}

void ClaimCoordinator::complete(uint64_t batchId, Claims::BatchResult const& result)
{
    {
        std::lock_guard const lock(m_mutex);
        deliver(m_batcher.complete(batchId, result, Core::wallNow()));
    }
    startDueBatch();
}

}
