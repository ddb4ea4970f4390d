#include "LatencyHistogram.h"

namespace Comfreysail::Benchmarks {

void LatencyHistogram::add(double milliseconds) { m_histogram(milliseconds); }

double LatencyHistogram::quantile(double fraction) const
{
    auto const total = boost::histogram::algorithm::sum(m_histogram);
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
        seen += *bin;
        if (*bin > 0 && seen >= fraction * total)
            return bin.index() < 0 ? smallest : bin.bin().lower();
    }
    return 0;
}

}
