#pragma once

#include <string>
#include <vector>

namespace Comfreysail::Capacity {

/// One measured value at one size.
struct Point {
    double size { 0 };
    double value { 0 };
};

/// A straight line through measured points.
struct Slope {
    double perUnit { 0 };
    double fixed { 0 };

    double at(double size) const { return fixed + perUnit * size; }
};

/// Measurements of one cost of one role at several sizes.
struct Series {
    std::string role;
    std::string cost;     ///< With its unit, for example "pick_microseconds".
    std::string sizeName; ///< What the size counts, for example "targets".
    std::vector<Point> points;

    /// Least-squares line through the points.
    Slope slope() const;
};

/// Prints one line for each point and one for the slope.
void print(Series const&);

}
