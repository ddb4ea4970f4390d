#pragma once

#include <boost/histogram.hpp>

namespace Comfreysail::Benchmarks {

/// Latencies in milliseconds, in logarithmic bins that are 0.4% wide.
class LatencyHistogram {
public:
    void add(double milliseconds);
    void merge(LatencyHistogram const& other) { m_histogram += other.m_histogram; }

    /// Returns the latency that the given fraction of the calls does not exceed; 0 if there are no calls.
    double quantile(double fraction) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    static constexpr unsigned binCount = 4000;
    static constexpr double smallest = 0.02;
    static constexpr double largest = 200'000;

    boost::histogram::histogram<std::tuple<Axis>> m_histogram {
        boost::histogram::make_histogram(Axis(binCount, smallest, largest)),
    };
};

}
