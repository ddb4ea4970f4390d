#pragma once

namespace Comfreysail::Routing {

/// The limit on requests in flight on a cold target. It starts at 1 and grows only with completed requests, because
/// time alone does not fill caches.
class WarmUp {
public:
    /// What a completed request indicates about the target.
    enum class Evidence {
        Good,     ///< Completed about as fast as typical.
        Doubtful, ///< Completed, but slowly, or the target reports that it is cold.
        Bad,      ///< Shed or failed; the limit is too high.
    };

    bool isCold() const { return m_isCold; }

    /// Maximum number of requests in flight while cold.
    unsigned limit() const { return m_limit; }

    void restart();
    void finish();

    /// Updates the limit. The target becomes warm when the limit would exceed fullLimit.
    void note(Evidence, unsigned fullLimit);

private:
    bool m_isCold { true };
    unsigned m_limit { 1 };
    unsigned m_progress { 0 };
};

}
