#include <LibMembership/Overlay.h>
#include <catch2/catch.hpp>
#include <map>

using namespace Comfreysail::Membership;

// A member with more incoming links than the others would exceed its share of the message budget.
TEST_CASE("Overlay_AnySize_GivesEveryMemberTheSameDegree")
{
    auto const count = GENERATE(size_t { 1 }, size_t { 2 }, size_t { 14 }, size_t { 60 }, size_t { 200 });
    std::map<size_t, size_t> incoming;
    for (size_t self = 0; self < count; ++self) {
        CHECK(overlayPeers(self, count).size() == overlayPeers(0, count).size());
        for (auto const peer : overlayPeers(self, count)) {
            CHECK(peer != self);
            ++incoming[peer];
        }
    }
    for (auto const& [peer, links] : incoming)
        CHECK(links == overlayPeers(0, count).size());
}
