#pragma once

namespace Comfreysail::Routing {

/// Limit on requests in flight on a cold target. It starts at 1 and grows with completed requests only: time alone
/// fills no caches.
class WarmUp {
public:
    /// What a completed request says about the target.
    enum class Evidence {
        Good,     ///< Answered about as fast as typical.
        Doubtful, ///< Answered, but slowly, or the target says that it is cold.
        Bad,      ///< Shed or failed: the limit is too high.
    };

    bool isCold() const { return m_isCold; }

    /// Requests that may be in flight while cold.
    unsigned limit() const { return m_limit; }

    void restart();
    void finish();

    /// The target is warm when its limit would exceed fullLimit.
    void note(Evidence, unsigned fullLimit);

private:
    bool m_isCold { true };
    unsigned m_limit { 1 };
    unsigned m_progress { 0 };
};

}
