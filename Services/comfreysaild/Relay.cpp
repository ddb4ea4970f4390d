#include "Relay.h"

#include "BufferedGet.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>
#include <platform/Platform.h>
#include <sstream>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Core::Instant;
using HTTP::awaitable;
using namespace std::chrono_literals;

namespace {

// How late a timer may fire on a small VM under full load.
constexpr auto maxTimerDelay = 500ms;
// Upper bound of the wait_ms that another daemon may request.
constexpr auto maxWait = 1s;
// Total size of the responses that are being built and sent. Each is in memory about three times meanwhile, and control
// traffic may use 32 MB. Without a limit a daemon used 234 MB with 300 VMs and 3,000 targets, presumably for responses.
constexpr size_t maxResponseBytesInFlight = size_t { 8 } << 20;
// Responses of this size take so long on a link of 10 Mbit/s that those sent after them arrive noticeably later.
constexpr size_t minLargeResponseBytes = size_t { 16 } * 1024;
// Larger responses of other daemons are refused. A daemon has responses of half this size in flight at most.
constexpr size_t maxRowsBytes = 2 * maxResponseBytesInFlight;
// A greater age is invalid, and could overflow when it is converted to microseconds.
constexpr std::chrono::duration<uint64_t, std::milli> maxAge = std::chrono::hours(24);
// A greater time of the store's clock is invalid, for the same reason.
constexpr std::chrono::milliseconds maxStoreTime = std::chrono::hours(24) * 365 * 300;
// How often all evidence is sent, and not only what has changed: the other daemon may not have known the move before.
constexpr auto fullEvidenceInterval = 2s;

// The store's time when the response was made, in milliseconds. Responses of older builds and of daemons that did not
// hear of it yet lack it.
constexpr char const* storeTimeField = "store_ms";

// Names the compression of a row, in requests and in responses.
constexpr char const* compressedField = "zstd";
// Names the hash of the earlier text that a compressed row refers to.
constexpr char const* baseField = "base";

std::string encoded(std::string_view text) { return boost::urls::encode(text, boost::urls::unreserved_chars); }

uint64_t unsignedOf(boost::json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    boost::system::error_code error;
    auto const number = value ? value->to_number<uint64_t>(error) : 0;
    return error ? 0 : number;
}

/// The names and numbers, separated by spaces.
std::string numbersText(std::map<std::string, uint64_t, std::less<>> const& numbers)
{
    std::string text;
    for (auto const& [name, number] : numbers)
        text += name + " " + std::to_string(number) + " ";
    return text;
}

std::map<std::string, uint64_t, std::less<>> parseNumbers(std::string const& text)
{
    std::map<std::string, uint64_t, std::less<>> numbers;
    std::istringstream stream(text);
    std::string name;
    uint64_t number = 0;
    while (stream >> name >> number)
        numbers[name] = number;
    return numbers;
}

boost::json::object jsonOf(std::map<std::string, uint64_t, std::less<>> const& numbers)
{
    boost::json::object object;
    for (auto const& [name, number] : numbers)
        object[name] = number;
    return object;
}

std::string textOf(boost::json::value const& value)
{
    return value.is_string() ? std::string(value.get_string().data(), value.get_string().size()) : std::string();
}

boost::json::object jsonOf(CompressedText const& compressed)
{
    boost::json::object object { { compressedField, boost::json::string(compressed.encoded) } };
    if (compressed.baseHash)
        object[baseField] = Core::toHex(*compressed.baseHash);
    return object;
}

std::optional<uint64_t> parseHash(std::string_view text)
{
    constexpr int hexadecimal = 16;
    uint64_t hash = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, hash, hexadecimal);
    return result.ec == std::errc() && result.ptr == end ? std::optional(hash) : std::nullopt;
}

/// Invalid hashes are left out: they are those of no known text.
CompressedRows::Hashes parseHashes(std::string_view text)
{
    CompressedRows::Hashes hashes;
    for (auto const part : HTTP::splitList(text)) {
        if (auto const hash = parseHash(part))
            hashes.insert(*hash);
    }
    return hashes;
}

CompressedText compressedTextOf(boost::json::object const& object)
{
    auto const* const encoded = object.if_contains(compressedField);
    auto const* const base = object.if_contains(baseField);
    CompressedText compressed;
    // An empty text is refused when it is restored.
    compressed.encoded = encoded ? textOf(*encoded) : std::string();
    if (base)
        compressed.baseHash = parseHash(textOf(*base)).value_or(0);
    return compressed;
}

/// Restores rows that are sent as one compressed text. Returns null if it is damaged or too large.
boost::json::value restoreRows(boost::json::object const& compressed)
{
    auto const* const encoded = compressed.if_contains(compressedField);
    auto const frame = Platform::decodeBase64(encoded ? textOf(*encoded) : std::string());
    if (isError(frame))
        return nullptr;
    auto const text = Core::decompress(valueOf(frame), maxRowsBytes);
    boost::system::error_code error;
    auto rows = boost::json::parse(text.value_or(""), error);
    return error ? boost::json::value() : rows;
}

}

Relay::Relay(asio::io_context& context, HTTP::ConnectionPool& pool, EntryState& state, std::string vmName)
    : m_context(context)
    , m_pool(pool)
    , m_state(state)
    , m_vmName(std::move(vmName))
{
}

void Relay::noteChange()
{
    for (auto* const timer : m_waitingTimers)
        timer->cancel();
}

std::string Relay::evidenceText(std::string const& member, Instant now)
{
    bool const isFull = member != m_evidenceSentTo || now - m_allEvidenceSentAt >= fullEvidenceInterval;
    if (isFull)
        m_allEvidenceSentAt = now;
    return m_state.evidence.textSince(isFull ? 0 : m_sentEvidenceVersion);
}

awaitable<RelayResult> Relay::poll(std::string member, HTTP::Endpoint endpoint, RelayQuery query)
{
    auto const now = Core::monotonicNow();
    auto const wait = std::chrono::duration_cast<std::chrono::milliseconds>(query.wait).count();
    auto target = "/rows?name=" + encoded(m_vmName)
        + "&revisions=" + encoded(numbersText(m_state.sharedRows.knownRevisions()))
        + "&verdicts=" + encoded(numbersText(m_state.verdicts)) + "&wait_ms=" + std::to_string(wait)
        + "&encoding=" + compressedField + "&bases=" + basesText() + "&counts=" + encoded(evidenceText(member, now));
    auto const evidenceVersion = m_state.evidence.version();
    auto connection = m_pool.take(endpoint, HTTP::ReusePolicy::Any, now);
    if (!connection)
        connection = m_pool.create(endpoint);
    auto const startedAt = Core::suspendAwareNow();
    BufferedGetLimits const limits { maxRowsBytes, now + query.timeout, query.transferTime };
    auto const exchange = co_await bufferedGet(m_pool, std::move(connection), std::move(target), limits);
    auto const& response = exchange.response;
    auto const took = Core::suspendAwareNow() - startedAt;
    // A response that arrived while the process was paused states the age that the rows had before.
    bool const wasPaused = took - exchange.bodyTime > query.timeout + maxTimerDelay;
    auto result = RelayResult::Failed;
    if (response && response->head.status == 200 && !wasPaused)
        result = applyResponse(member, response->body, exchange.bodyTime);
    if (result == RelayResult::Failed) {
        Telemetry::EventLine("relay_failed")
            .add("member", member)
            .add("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(took).count())
            .add("responded", exchange.hasHead)
            .add("bytes", exchange.bodyBytes)
            .logInfo();
    }
    if (wasPaused)
        co_return result;
    m_evidenceSentTo = result == RelayResult::Failed ? std::string() : member;
    m_sentEvidenceVersion = evidenceVersion;
    co_return result;
}

RelayResult Relay::applyResponse(std::string const& member, std::string const& body, Core::Duration transferTime)
{
    boost::system::error_code error;
    auto const parsed = boost::json::parse(body, error);
    auto const* const object = error ? nullptr : parsed.if_object();
    auto const field = [&](std::string_view name) { return object ? object->if_contains(name) : nullptr; };
    boost::json::value restoredRows;
    auto const* rows = field("rows");
    if (rows && rows->is_object()) {
        restoredRows = restoreRows(rows->get_object());
        rows = &restoredRows;
    }
    auto const* const revisions = field("revisions");
    auto const* const verdicts = field("verdicts");
    auto const* const complete = field("complete");
    auto const* const digests = field("digests");
    auto const ageMilliseconds = object ? unsignedOf(*object, "age_ms") : 0;
    bool const isValid = ageMilliseconds <= maxAge.count() && rows && rows->is_array() && revisions
        && revisions->is_object() && verdicts && verdicts->is_object() && complete && complete->is_array() && digests
        && digests->is_object();
    if (!isValid) {
        Telemetry::EventLine("relay_answer_refused").add("member", member).logWarning();
        return RelayResult::Failed;
    }
    auto const age = std::chrono::milliseconds(ageMilliseconds) + transferTime;
    if (auto const* const storeTime = field(storeTimeField)) {
        auto const milliseconds = storeTime->to_number<int64_t>(error);
        bool const isInRange = milliseconds >= -maxStoreTime.count() && milliseconds <= maxStoreTime.count();
        if (!error && isInRange)
            m_state.storeClock.note(std::chrono::milliseconds(milliseconds) + transferTime, Core::monotonicNow());
    }
    Traffic::SharedChanges changes;
    for (auto const& revision : revisions->get_object())
        changes.revisions[std::string(revision.key())] = unsignedOf(revisions->get_object(), revision.key());
    for (auto const& digest : digests->get_object())
        changes.digests[std::string(digest.key())] = unsignedOf(digests->get_object(), digest.key());
    for (auto const& table : complete->get_array())
        changes.completeTables.insert(textOf(table));
    for (auto const& entry : rows->get_array()) {
        auto const* const fields = entry.if_array();
        if (!fields || fields->size() != 3)
            return RelayResult::Failed;
        Traffic::SharedRow row { textOf((*fields)[0]), textOf((*fields)[1]), std::nullopt };
        if ((*fields)[2].is_string())
            row.text = textOf((*fields)[2]);
        if (auto const* const compressed = (*fields)[2].if_object()) {
            row.text = m_compressedRows.add(row.table, row.key, compressedTextOf(*compressed));
            if (!row.text) {
                Telemetry::EventLine("relay_answer_refused").add("member", member).logWarning();
                return RelayResult::Failed;
            }
        }
        changes.rows.push_back(std::move(row));
    }
    // Verdicts are final, so they are applied even if the rows are stale.
    for (auto const& verdict : verdicts->get_object())
        noteVerdict(m_state, std::string(verdict.key()), unsignedOf(verdicts->get_object(), verdict.key()));
    // Serving requests takes these two tables. Others may be older: a daemon that has read the store itself has its own
    // revisions of them for up to two seconds, and must not refuse newer decisions of operators meanwhile.
    bool const isOlder = m_state.sharedRows.isOlder(changes, Platform::Table::operators)
        || m_state.sharedRows.isOlder(changes, Platform::Table::targets);
    auto const end = m_state.sharedRows.apply(changes);
    if (end == Traffic::ApplyResult::Incomplete) {
        Telemetry::EventLine("relay_rows_incomplete").add("member", member).logInfo();
        return RelayResult::Incomplete;
    }
    if (isOlder || end == Traffic::ApplyResult::Stale)
        return RelayResult::Stale;
    m_state.rowsReadAt = std::max(m_state.rowsReadAt, Core::monotonicNow() - Core::Duration(age));
    return age <= maxFreshAge ? RelayResult::Fresh : RelayResult::Stale;
}

std::string Relay::basesText()
{
    // Only operators write large rows.
    auto const version = m_state.sharedRows.versionOf(Platform::Table::operators);
    if (version != m_notedOperatorsVersion) {
        m_notedOperatorsVersion = version;
        m_compressedRows.note(Platform::Table::operators, m_state.sharedRows.table(Platform::Table::operators));
    }
    std::string text;
    for (auto const hash : m_compressedRows.hashes())
        text += (text.empty() ? "" : ",") + Core::toHex(hash);
    return text;
}

std::string Relay::responseText(Traffic::SharedChanges const& changes, bool isCompressionAccepted, bool isForNewDaemon,
    CompressedRows::Hashes const& bases)
{
    boost::json::array rows;
    for (auto const& row : changes.rows) {
        boost::json::array entry { boost::json::string(row.table), boost::json::string(row.key) };
        auto const compressed = isCompressionAccepted ? m_compressedRows.find(row, bases) : std::nullopt;
        if (compressed)
            entry.push_back(jsonOf(*compressed));
        else
            entry.push_back(row.text ? boost::json::value(boost::json::string(*row.text)) : boost::json::value());
        rows.push_back(std::move(entry));
    }
    boost::json::value allRows = std::move(rows);
    // A daemon that starts gets all rows. After many daemons have lost their power at once, one response serves them
    // all.
    if (isCompressionAccepted && isForNewDaemon) {
        if (m_rowsForNewDaemons.empty() || m_rowsForNewDaemonsVersion != m_state.sharedRows.version()) {
            m_rowsForNewDaemons = Platform::encodeBase64(Core::compress(boost::json::serialize(allRows)));
            m_rowsForNewDaemonsVersion = m_state.sharedRows.version();
        }
        allRows = boost::json::object { { compressedField, boost::json::string(m_rowsForNewDaemons) } };
    }
    boost::json::array complete;
    for (auto const& table : changes.completeTables)
        complete.push_back(boost::json::string(table));
    auto const now = Core::monotonicNow();
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_state.rowsReadAt);
    boost::json::object response { { "age_ms", age.count() }, { "revisions", jsonOf(changes.revisions) },
        { "digests", jsonOf(changes.digests) }, { "complete", std::move(complete) }, { "rows", std::move(allRows) },
        { "verdicts", jsonOf(m_state.verdicts) } };
    if (auto const storeTime = m_state.storeClock.at(now))
        response[storeTimeField] = std::chrono::duration_cast<std::chrono::milliseconds>(*storeTime).count();
    return boost::json::serialize(response);
}

bool Relay::knowsVerdicts(std::string_view verdictText) const
{
    auto const known = parseNumbers(std::string(verdictText));
    return std::ranges::all_of(m_state.verdicts, [&](auto const& verdict) {
        auto const found = known.find(verdict.first);
        return found != known.end() && found->second >= verdict.second;
    });
}

awaitable<void> Relay::refuseBusy(HTTP::ServerExchange& exchange)
{
    Telemetry::EventLine("relay_busy").add("bytes_in_answers", m_responseBytesInFlight).logWarning();
    HTTP::ResponseHead head;
    head.status = 503;
    co_await exchange.respond(std::move(head), "{}");
}

awaitable<void> Relay::handle(HTTP::ServerExchange& exchange)
{
    HTTP::ResponseHead head;
    head.fields.add("Content-Type", "application/json");
    auto const url = boost::urls::parse_origin_form(exchange.head().target);
    if (!url || url->path() != "/rows") {
        head.status = 404;
        co_await exchange.respond(std::move(head), "{}");
        co_return;
    }
    std::map<std::string, std::string, std::less<>> parameters;
    for (auto const& parameter : url->params())
        parameters[parameter.key] = parameter.value;
    auto const numberOf = [&](std::string_view name) {
        uint64_t number = 0;
        auto const found = parameters.find(name);
        if (found != parameters.end())
            std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
        return number;
    };
    m_state.evidence.merge(parameters["counts"]);
    if (m_responseBytesInFlight >= maxResponseBytesInFlight) {
        co_await refuseBusy(exchange);
        co_return;
    }
    auto const known = parseNumbers(parameters["revisions"]);
    auto const wait = std::min<Core::Duration>(std::chrono::milliseconds(numberOf("wait_ms")), maxWait);
    auto changes = m_state.sharedRows.changesAfter(known);
    if (changes.rows.empty() && knowsVerdicts(parameters["verdicts"]) && wait.count() > 0) {
        asio::steady_timer timer(m_context, wait);
        m_waitingTimers.insert(&timer);
        co_await timer.async_wait(HTTP::useTuple);
        m_waitingTimers.erase(&timer);
        changes = m_state.sharedRows.changesAfter(known);
    }
    // Daemons of older builds do not ask for compressed rows.
    auto const text = responseText(
        changes, parameters["encoding"] == compressedField, known.empty(), parseHashes(parameters["bases"]));
    m_responseBytesInFlight += text.size();
    co_await sendRows(exchange, std::move(head), text);
    m_responseBytesInFlight -= text.size();
}

awaitable<void> Relay::sendRows(HTTP::ServerExchange& exchange, HTTP::ResponseHead head, std::string const& text)
{
    if (text.size() < minLargeResponseBytes) {
        co_await exchange.respond(std::move(head), text);
        co_return;
    }
    head.contentLength = text.size();
    exchange.startResponse(std::move(head));
    bool isSent = co_await exchange.flush();
    // Lets the other responses that became ready at the same time send their heads too, before the bodies fill the
    // link.
    co_await asio::post(m_context, asio::use_awaitable);
    if (isSent)
        isSent = co_await exchange.sendBody(text);
    if (isSent)
        co_await exchange.finish();
}

}
