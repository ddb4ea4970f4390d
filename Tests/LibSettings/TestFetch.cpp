#include <LibSettings/Settings.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Settings;
using namespace std::chrono_literals;
using Action = FetchStep::Action;

struct AdoptionCase {
    SettingsRevision offered;
    Adoption adoption;
};

// Accepted settings must never revert to an older revision.
TEST_CASE("Adoption_OfferedRevision_OnlyHigherIsAdopted")
{
    SettingsRevision const inForce { 7, "c7", "h7" };
    auto const example = GENERATE(values<AdoptionCase>({ { { 8, "c8", "h8" }, Adoption::Adopt },
        { { 7, "c7", "h7" }, Adoption::AlreadyInForce }, { { 7, "other", "h7" }, Adoption::Contradiction },
        { { 7, "c7", "other" }, Adoption::Contradiction }, { { 6, "c6", "h6" }, Adoption::Older } }));
    CAPTURE(example.offered.revision, example.offered.changeId);
    CHECK(adoptionOf(inForce, example.offered) == example.adoption);
}

// A store read must start every second, but not while the previous one is pending.
TEST_CASE("NextFetch_Store_IsReadEverySecond")
{
    Core::Instant const start { 100s };
    FetchState state;
    CHECK(nextFetch(state, start).action == Action::ReadStore);
    state.noteStoreReadStarted(start);
    CHECK(nextFetch(state, start + 2s).action == Action::Wait);
    state.noteStoreReadEnded();
    CHECK(nextFetch(state, start + 999ms).action == Action::Wait);
    CHECK(nextFetch(state, start + 999ms).nextCall <= start + 1099ms);
    CHECK(nextFetch(state, start + 1s).action == Action::ReadStore);
}

// While the store is unavailable, a newer revision must be fetched from a peer that has it.
TEST_CASE("NextFetch_PeerWithNewerRevision_IsAskedUntilAdopted")
{
    Core::Instant const start { 100s };
    FetchState state;
    state.noteStoreReadStarted(start);
    state.noteAdopted(5);
    state.notePeerRevision("vm-1", 5);
    CHECK(state.peers.empty());
    CHECK(nextFetch(state, start).action == Action::Wait);
    state.notePeerRevision("vm-1", 6);
    state.notePeerRevision("vm-2", 7);
    CHECK(nextFetch(state, start).peer == "vm-2");

    SECTION("one request at a time, and a silent peer is passed over")
    {
        state.notePeerAsked("vm-2", start);
        CHECK(nextFetch(state, start + 499ms).action == Action::Wait);
        CHECK(nextFetch(state, start + 499ms).nextCall == start + 500ms);
        CHECK(nextFetch(state, start + 500ms).peer == "vm-1");
        state.notePeerAsked("vm-1", start + 500ms);
        CHECK(nextFetch(state, start + 999ms).action == Action::Wait);
        state.noteStoreReadStarted(start + 1s);
        CHECK(nextFetch(state, start + 1s).peer == "vm-2");
    }
    SECTION("adoption ends it")
    {
        state.noteAdopted(7);
        CHECK(state.peers.empty());
        state.noteAdopted(6);
        CHECK(state.inForce == 7);
    }
    SECTION("a peer that left is not asked")
    {
        state.forgetPeer("vm-2");
        CHECK(nextFetch(state, start).peer == "vm-1");
    }
}
