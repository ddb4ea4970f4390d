#pragma once

namespace Comfreysail::Traffic {

/// Learns whether requests that are sent to a target without a free slot still end within their latency target. Where
/// targets slow down when they are full, they do not, and each keeps a slot from one that would.
class WaitingWorth {
public:
    void note(bool wasInTime);

    /// Whether a request should wait at a target. `uniform` in [0, 1) lets a small part wait all the same, so that a
    /// change is noticed.
    bool pays(double uniform) const;

private:
    double m_partInTime { 0.6 }; ///< Optimistic at first.
};

}
