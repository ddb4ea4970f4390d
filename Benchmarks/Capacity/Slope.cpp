#include "Slope.h"
#include <cstdio>

namespace Comfreysail::Capacity {

Slope Series::slope() const
{
    double sizeMean = 0;
    double valueMean = 0;
    for (auto const& point : points) {
        sizeMean += point.size / static_cast<double>(points.size());
        valueMean += point.value / static_cast<double>(points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (auto const& point : points) {
        covariance += (point.size - sizeMean) * (point.value - valueMean);
        variance += (point.size - sizeMean) * (point.size - sizeMean);
    }
    auto const perUnit = variance > 0 ? covariance / variance : 0;
    return { .perUnit = perUnit, .fixed = valueMean - perUnit * sizeMean };
}

void print(Series const& series)
{
    for (auto const& point : series.points)
        std::printf("role=%s cost=%s %s=%g value=%.4f\n", series.role.c_str(), series.cost.c_str(),
            series.sizeName.c_str(), point.size, point.value);
    auto const slope = series.slope();
    std::printf("role=%s cost=%s slope_per_%s=%.6f fixed=%.4f\n", series.role.c_str(), series.cost.c_str(),
        series.sizeName.c_str(), slope.perUnit, slope.fixed);
}

}
