package org.fuchsiadeck.cli.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.toList;

/**
 * The straight line through the points of one item, by least squares over the medians.
 *
 * @param item what was measured
 * @param per what the size counts
 * @param unit the unit of the figures
 * @param points how many points the line goes through
 * @param base the figure at size 0
 * @param slope how much the figure grows with each unit of size
 */
record Slope(String item, String per, String unit, int points, double base, double slope) {
    /** Fits a line for each item and unit that has more than one size, in the order of the points. */
    static List<Slope> of(List<Point> points) {
        Map<String, List<Point>> lines =
                points.stream().collect(groupingBy(p -> p.item() + "\t" + p.unit(), LinkedHashMap::new, toList()));
        return lines.values().stream()
                .filter(l -> l.stream().mapToInt(Point::size).distinct().count() > 1)
                .map(Slope::fit)
                .toList();
    }

    static Slope fit(List<Point> line) {
        double meanSize = line.stream().mapToInt(Point::size).average().orElse(0);
        double mean = line.stream().mapToDouble(Point::median).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (Point p : line) {
            covariance += (p.size() - meanSize) * (p.median() - mean);
            variance += (p.size() - meanSize) * (p.size() - meanSize);
        }
        double slope = covariance / variance;
        Point first = line.get(0);
        return new Slope(first.item(), first.per(), first.unit(), line.size(), mean - slope * meanSize, slope);
    }
}
