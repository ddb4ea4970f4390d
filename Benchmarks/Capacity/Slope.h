#pragma once

#include <string>
#include <vector>

namespace Comfreysail::Capacity {

/// One measured value at one size.
struct Point {
    double size { 0 };
    double value { 0 };
};

/// A straight line that models a cost as a function of the size.
struct Slope {
    double perUnit { 0 };
    double fixed { 0 };

    double at(double size) const { return fixed + perUnit * size; }
};

/// Measurements of one cost of one role at several sizes.
struct Series {
    std::string role;
    std::string cost;     ///< The cost with its unit, such as "pick_microseconds".
    std::string sizeName; ///< What the size counts, such as "targets".
    std::vector<Point> points;

    /// Fits a line to the points by least squares.
    Slope slope() const;
};

/// Prints one line for each point and one for the slope.
void print(Series const&);

}
