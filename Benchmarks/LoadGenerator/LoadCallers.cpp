#include "LoadCallers.h"
#include <TestContent/TestContent.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>

namespace Comfreysail::Benchmarks {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
// A caller waits longer than its deadline, so that it still receives the refusal of a daemon at the deadline.
constexpr auto answerMargin = std::chrono::milliseconds(1000);
constexpr auto orderRetryDelay = std::chrono::milliseconds(150);
constexpr unsigned connectAttempts = 3;
constexpr size_t orderBodyBytes = 200;

std::string_view view(boost::core::string_view text) { return { text.data(), text.size() }; }

asio::awaitable<void> pause(asio::io_context& context, std::chrono::steady_clock::duration time)
{
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(useTuple);
}

/// Draws the time until the next arrival of a Poisson process. The rate is in calls per second.
Core::Duration drawGap(std::mt19937_64& random, double rate)
{
    std::exponential_distribution<double> gap(rate / 1e6);
    return Core::Duration(static_cast<int64_t>(gap(random)));
}

}

LoadCallers::LoadCallers(asio::io_context& context, LoadOptions const& options)
    : m_context(context)
    , m_options(options)
    , m_http(context)
    , m_random(options.seed)
{
}

asio::awaitable<void> LoadCallers::run()
{
    asio::co_spawn(m_context, printProgress(), asio::detached);
    auto const end = Core::monotonicNow() + m_options.duration;
    auto const rate = m_options.rate + m_options.poisonRate;
    for (auto next = Core::monotonicNow(); next < end; next += drawGap(m_random, rate)) {
        asio::steady_timer timer(m_context, next);
        co_await timer.async_wait(useTuple);
        ++m_running;
        asio::co_spawn(m_context, runCall(plan(next)), asio::detached);
    }
    while (m_running > 0)
        co_await pause(m_context, std::chrono::milliseconds(20));
    m_isDone = true;
}

asio::awaitable<void> LoadCallers::printProgress()
{
    while (!m_isDone) {
        std::cout << report.progressLine() << std::endl;
        co_await pause(m_context, std::chrono::seconds(1));
    }
}

LoadCallers::Call LoadCallers::plan(Core::Instant plannedStart)
{
    std::uniform_real_distribution<double> uniform;
    Call call { .number = ++report.started, .plannedStart = plannedStart };
    call.department = m_options.departments[m_random() % m_options.departments.size()];
    auto const number = std::to_string(call.number);
    auto const choice = uniform(m_random);
    if (uniform(m_random) < m_options.poisonRate / (m_options.rate + m_options.poisonRate)) {
        call.kind = CallKind::Poison;
        call.path = "/poison/" + std::to_string(m_random() % m_options.poisonPaths);
    } else if (choice < m_options.downloadShare) {
        call.kind = CallKind::Download;
        call.path = "/download/" + number + "/" + std::to_string(m_options.downloadBytes);
    } else if (choice < m_options.downloadShare + m_options.orderShare) {
        call.kind = CallKind::Order;
        call.path = "/orders/" + number;
        call.body.assign(orderBodyBytes, static_cast<char>('a' + call.number % 26));
    } else {
        call.path = "/status/" + number;
    }
    return call;
}

std::string LoadCallers::key(Call const& call) const
{
    return "order-" + std::to_string(m_options.seed) + "-" + std::to_string(call.number);
}

std::string LoadCallers::requestId(Call const& call, unsigned attempt) const
{
    return Core::toHex(Core::combineHashes(m_options.seed, call.number * 64 + attempt));
}

asio::awaitable<void> LoadCallers::runCall(Call call)
{
    CallEnd end = CallEnd::Unanswered;
    if (call.kind == CallKind::Order)
        end = co_await runOrder(call);
    else
        end = co_await runIdempotent(call);
    auto const latency = std::chrono::duration<double, std::milli>(Core::monotonicNow() - call.plannedStart);
    report.noteEnd(call.kind, end, latency.count());
    --m_running;
}

std::string const& LoadCallers::addressFor(Call const& call, unsigned attempt) const
{
    auto const& addresses = m_options.targetDirect ? m_options.targets : m_options.daemons;
    return addresses[(call.number + attempt) % addresses.size()];
}

void LoadCallers::printFault(Call const& call, unsigned attempt, CallEnd end) const
{
    if (end != CallEnd::Cut && end != CallEnd::Wrong && end != CallEnd::Unanswered)
        return;
    auto const name = end == CallEnd::Cut ? "cut" : end == CallEnd::Wrong ? "wrong" : "unanswered";
    std::cout << "event=" << name << " at_ms=" << Core::toUnixMilliseconds(Core::wallNow())
              << " address=" << addressFor(call, attempt) << " path=" << call.path
              << " request=" << requestId(call, attempt) << std::endl;
}

asio::awaitable<Reply> LoadCallers::send(Call const& call, unsigned attempt)
{
    Request request { call.kind == CallKind::Order ? http::verb::post : http::verb::get, call.path, 11 };
    request.set(http::field::host, call.kind == CallKind::Download ? m_options.downloadHost : m_options.host);
    request.set(Core::Header::department, call.department);
    request.set(Core::Header::timeoutMilliseconds, std::to_string(m_options.timeout.count()));
    request.set(Core::Header::requestId, requestId(call, attempt));
    if (call.kind == CallKind::Order)
        request.set(Core::Header::idempotencyKey, key(call));
    request.body() = call.body;
    request.prepare_payload();
    ++report.sends;
    co_return co_await m_http.call(addressFor(call, attempt), std::move(request), m_options.timeout + answerMargin);
}

CallEnd LoadCallers::classifyReply(Call const& call, unsigned attempt, Reply const& reply)
{
    if (reply.state == Reply::State::Cut)
        return CallEnd::Cut;
    if (reply.state != Reply::State::Complete)
        return CallEnd::Unanswered;
    if (reply.fields.count(Core::Header::outcome) > 0 || reply.fields.count(Core::Header::error) > 0) {
        ++report.refusals[std::string(view(reply.fields[Core::Header::error]))];
        return CallEnd::Refused;
    }
    if (reply.status >= 400)
        return CallEnd::Failed;
    if (call.kind == CallKind::Download) {
        std::string expected(m_options.downloadBytes, '\0');
        TestContent::fillDownload(call.path, 0, expected);
        return reply.body == expected ? CallEnd::Answered : CallEnd::Wrong;
    }
    // The answer to a retried order may come from its claim, which stores only the status and no checksum.
    bool const isStored = call.kind == CallKind::Order && reply.fields.count(TestContent::checksumHeader) == 0;
    if (isStored && attempt > 0)
        return CallEnd::Answered;
    auto const checksum
        = TestContent::requestChecksum(call.kind == CallKind::Order ? "POST" : "GET", call.path, call.body);
    auto const id = requestId(call, attempt);
    bool const isRight = reply.body == TestContent::answerBody(id, checksum)
        && view(reply.fields[Core::Header::requestId]) == id
        && view(reply.fields[TestContent::checksumHeader]) == checksum;
    return isRight ? CallEnd::Answered : CallEnd::Wrong;
}

asio::awaitable<CallEnd> LoadCallers::runIdempotent(Call const& call)
{
    for (unsigned attempt = 0;; ++attempt) {
        auto const reply = co_await send(call, attempt);
        if (reply.state == Reply::State::NotConnected && attempt + 1 < connectAttempts)
            continue;
        auto const end = classifyReply(call, attempt, reply);
        printFault(call, attempt, end);
        co_return end;
    }
}

asio::awaitable<CallEnd> LoadCallers::runOrder(Call const& call)
{
    CallEnd end = CallEnd::Unanswered;
    for (unsigned attempt = 0; attempt < m_options.orderAttempts; ++attempt) {
        auto const reply = co_await send(call, attempt);
        end = classifyReply(call, attempt, reply);
        printFault(call, attempt, end);
        bool const isNotRun = reply.state == Reply::State::NotConnected
            || (end == CallEnd::Refused && view(reply.fields[Core::Header::outcome]) == "not-run");
        bool const isDone = end == CallEnd::Answered;
        report.orders.note(key(call), isDone ? OrderReply::Done : isNotRun ? OrderReply::NotRun : OrderReply::Unknown);
        if (isDone || end == CallEnd::Wrong || end == CallEnd::Failed)
            break;
        co_await pause(m_context, orderRetryDelay * (attempt + 1));
    }
    co_return end;
}

asio::awaitable<ExecutionCounts> LoadCallers::readExecutions()
{
    ExecutionCounts counts;
    for (auto const& name : m_options.executionsFiles) {
        std::ifstream file(name);
        for (std::string executed; std::getline(file, executed);)
            ++counts[executed];
    }
    if (!m_options.executionsFiles.empty())
        co_return counts;
    for (auto const& target : m_options.targets) {
        auto const reply = co_await m_http.call(target, Request(http::verb::get, "/executions", 11), m_options.timeout);
        boost::system::error_code error;
        auto const value = boost::json::parse(reply.body, error);
        if (error || !value.is_object()) {
            std::cerr << "LoadGenerator: target " << target << " returned no valid execution counts\n";
            continue;
        }
        for (auto const& member : value.as_object())
            counts[std::string(member.key())] += member.value().to_number<uint64_t>();
    }
    co_return counts;
}

}
