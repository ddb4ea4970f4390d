#include <LibAdmission/Admission.h>
#include <catch2/catch.hpp>
#include <map>

using namespace Comfreysail;
using namespace Comfreysail::Admission;

namespace {

/// A queue whose requests the test admits and finishes, and a clock that the test advances.
class AdmissionFixture {
public:
    Core::Result<Ticket> enqueue(std::string const& department, RequestClass requestClass = RequestClass::Lookup,
        unsigned weight = 1, int64_t timeoutMilliseconds = 10'000)
    {
        auto const deadline = m_now + std::chrono::milliseconds(timeoutMilliseconds);
        return m_queue.enqueue({ ++m_lastId, department, requestClass, weight, deadline, true }, m_now);
    }

    std::optional<Core::ErrorKind> refusal(Core::Result<Ticket> const& result)
    {
        if (Core::isError(result))
            return Core::errorOf(result).kind;
        return std::nullopt;
    }

    /// Finishes the requests, 1 ms after each other.
    void finishAll(std::vector<Admitted> const& admitted)
    {
        for (auto const& request : admitted) {
            m_now += std::chrono::milliseconds(1);
            m_queue.finish(request.ticket, m_now);
        }
    }

protected:
    Core::Instant m_now { std::chrono::seconds(100) };
    AdmissionQueue m_queue { AdmissionOptions { 40 } };
    uint64_t m_lastId { 0 };
};

}

// The queue must not exceed its limit, and the refusal must state the reason.
TEST_CASE_METHOD(AdmissionFixture, "Enqueue_QueueIsFull_IsRefused")
{
    for (int count = 0; count < 40; ++count)
        REQUIRE_FALSE(refusal(enqueue("a")));
    CHECK(refusal(enqueue("a")) == Core::ErrorKind::QueueFull);
    CHECK(m_queue.queued() == 40);
}

// A department that filled the queue must give up places to a department below its share, and its evicted requests must
// be refused with that reason.
TEST_CASE_METHOD(AdmissionFixture, "Enqueue_FullOfOneDepartment_OtherDepartmentGetsItsShare")
{
    for (int count = 0; count < 40; ++count)
        enqueue("noisy");
    for (int count = 0; count < 20; ++count)
        CHECK_FALSE(refusal(enqueue("quiet")));
    CHECK(refusal(enqueue("quiet")) == Core::ErrorKind::DepartmentOverShare);
    CHECK(refusal(enqueue("noisy")) == Core::ErrorKind::DepartmentOverShare);
    auto const evicted = m_queue.takeRefused(m_now);
    CHECK(evicted.size() == 20);
    for (auto const& request : evicted)
        CHECK(request.reason == Core::ErrorKind::DepartmentOverShare);
    CHECK(m_queue.queued() == 40);
}

struct WeightCase {
    unsigned first;
    unsigned second;
    double expectedShareOfFirst;
};

// Dispatch must follow the weights over every short period, not only in the long run.
TEST_CASE_METHOD(AdmissionFixture, "Dispatch_Weights_DecideTheShares")
{
    auto const example = GENERATE(values<WeightCase>({ { 1, 1, 0.5 }, { 3, 1, 0.75 }, { 1, 4, 0.2 } }));
    AdmissionOptions options;
    options.overSharePercent = 100;
    m_queue = AdmissionQueue(options);
    for (int count = 0; count < 100; ++count) {
        enqueue("a", RequestClass::Lookup, example.first);
        enqueue("b", RequestClass::Lookup, example.second);
    }
    auto const admitted = m_queue.dispatch(60, m_now);
    auto const ofFirst
        = std::count_if(admitted.begin(), admitted.end(), [](Admitted const& request) { return request.id % 2 == 1; });
    CHECK(static_cast<double>(ofFirst) / 60 == Approx(example.expectedShareOfFirst).margin(0.02));
}

// If downloads took every slot, lookups would wait for seconds.
TEST_CASE_METHOD(AdmissionFixture, "Dispatch_ManyDownloads_LeaveSlotsForLookups")
{
    for (int count = 0; count < 30; ++count)
        enqueue("a", RequestClass::Download);
    // The capacity of 20 is ten slots with one request ahead each. Downloads get half of the slots.
    auto const downloads = m_queue.dispatch(20, m_now);
    CHECK(downloads.size() == 5);
    enqueue("a", RequestClass::Lookup);
    CHECK(m_queue.dispatch(15, m_now).size() == 1);
    // Even with a capacity of one, one download runs at a time.
    finishAll(downloads);
    CHECK(m_queue.dispatch(1, m_now).size() == 1);
}

// A request past its deadline must not reach a target, and one that cannot be sent before its deadline must be refused
// immediately.
TEST_CASE_METHOD(AdmissionFixture, "Deadline_PassedOrTooNear_IsRefused")
{
    CHECK(refusal(enqueue("a", RequestClass::Lookup, 1, 0)) == Core::ErrorKind::DeadlineExceededInQueue);
    enqueue("a", RequestClass::Lookup, 1, 5);
    enqueue("a", RequestClass::Lookup, 1, 500);
    m_now += std::chrono::milliseconds(5);
    auto const expired = m_queue.takeRefused(m_now);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().id == 2);
    CHECK(m_queue.dispatch(10, m_now).size() == 1);
    CHECK(m_queue.takeRefused(m_now + std::chrono::seconds(1)).empty());

    for (int count = 0; count < 30; ++count)
        enqueue("b");
    finishAll(m_queue.dispatch(10, m_now));
    CHECK(m_queue.expectedWait(RequestClass::Lookup) == std::chrono::milliseconds(20));
    CHECK(refusal(enqueue("b", RequestClass::Lookup, 1, 10)) == Core::ErrorKind::DeadlineExceededInQueue);
    // A department without queued requests gets its turn soon.
    CHECK_FALSE(refusal(enqueue("c", RequestClass::Lookup, 1, 10)));
}

// When capacity drops because a zone leaves, only departments above their share must lose requests.
TEST_CASE_METHOD(AdmissionFixture, "CapacityDrops_DepartmentsBelowTheirShareLoseNoRequests")
{
    std::map<std::string, size_t> refused;
    std::map<uint64_t, std::string> owners;
    std::vector<Admitted> running;
    // In each round of 10 ms the targets finish 10 requests, while the departments send 2, 3 and 10.
    for (int round = 0; round < 300; ++round) {
        for (auto const& [department, count] : std::map<std::string, int> { { "a", 2 }, { "b", 3 }, { "c", 10 } }) {
            for (int request = 0; request < count; ++request) {
                auto const result = enqueue(department, RequestClass::Order, 1, 200);
                owners[m_lastId] = department;
                refused[department] += refusal(result) ? 1 : 0;
            }
        }
        for (auto const& expired : m_queue.takeRefused(m_now))
            ++refused[owners[expired.id]];
        auto const admitted = m_queue.dispatch(static_cast<unsigned>(20 - running.size()), m_now);
        running.insert(running.end(), admitted.begin(), admitted.end());
        auto const ended = std::min<size_t>(running.size(), 10);
        finishAll({ running.begin(), running.begin() + static_cast<std::ptrdiff_t>(ended) });
        running.erase(running.begin(), running.begin() + static_cast<std::ptrdiff_t>(ended));
    }
    CHECK(refused["a"] == 0);
    CHECK(refused["b"] == 0);
    CHECK(refused["c"] > 1000);
}

// A request that no target can take is put back repeatedly. That must not count as usage of its department.
TEST_CASE_METHOD(AdmissionFixture, "PutBack_ManyTimes_DepartmentKeepsItsShare")
{
    enqueue("a");
    for (int count = 0; count < 100; ++count) {
        for (auto const& admitted : m_queue.dispatch(10, m_now))
            m_queue.putBack(admitted.ticket, m_now);
    }
    for (int count = 0; count < 5; ++count)
        enqueue("b");
    CHECK(m_queue.dispatch(6, m_now).size() == 6);
    m_now += std::chrono::seconds(1);
    enqueue("a");
    CHECK(m_queue.dispatch(4, m_now).size() == 1);
}

// Spilled, cancelled and put-back requests must not stay in the counts; otherwise capacity leaks.
TEST_CASE_METHOD(AdmissionFixture, "CancelPutBackAndSpill_CountsStayExact")
{
    auto const first = Core::valueOf(enqueue("a"));
    enqueue("a");
    enqueue("b");
    m_queue.cancel(first, m_now);
    CHECK(m_queue.queued() == 2);
    auto const admitted = m_queue.dispatch(1, m_now);
    REQUIRE(admitted.size() == 1);
    m_queue.putBack(admitted.front().ticket, m_now);
    CHECK(m_queue.inFlight() == 0);
    // The other department is served next, so that a request that no target takes does not block other departments.
    auto const other = m_queue.dispatch(1, m_now);
    REQUIRE(other.size() == 1);
    CHECK_FALSE(other == admitted);
    CHECK(m_queue.dispatch(1, m_now) == admitted);
    enqueue("c");
    CHECK(m_queue.takeForSpill(m_now).has_value());
    CHECK_FALSE(m_queue.takeForSpill(m_now).has_value());
    m_queue.cancel(other.front().ticket, m_now);
    m_queue.cancel(admitted.front().ticket, m_now);
    m_queue.finish(admitted.front().ticket, m_now);
    CHECK(m_queue.queued() == 0);
    CHECK(m_queue.inFlight() == 0);
    CHECK(m_queue.takeRefused(m_now + std::chrono::hours(1)).empty());
}
