package org.amaranthpick.tools.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Draws the worth by second of several runs as SVG. */
public final class WorthPlot {
    private static final int WIDTH = 640;
    private static final int PANEL = 150;
    private static final int LEFT = 46;
    private static final int TOP = 26;
    private static final int FOOT = 24;
    private static final Map<PolicyKind, String> COLOURS =
            Map.of(
                    PolicyKind.GATEWAY, "#1b6ca8",
                    PolicyKind.FIRST_COME, "#c0392b",
                    PolicyKind.LEAST_OUTSTANDING, "#7f8c8d",
                    PolicyKind.RANDOM, "#d68910");

    private WorthPlot() {}

    /**
     * Draws one panel for each pattern, with a line for each policy.
     *
     * @param results results
     * @return SVG text
     */
    public static String svg(List<ExperimentResult> results) {
        List<LoadPattern> patterns =
                results.stream().map(ExperimentResult::pattern).distinct().toList();
        StringBuilder svg = new StringBuilder();
        int height = patterns.size() * PANEL + FOOT;
        add(
                svg,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                        + " font-family=\"sans-serif\" font-size=\"11\">%n",
                WIDTH,
                height);
        for (int i = 0; i < patterns.size(); i++) {
            LoadPattern pattern = patterns.get(i);
            panel(
                    svg,
                    i * PANEL,
                    pattern,
                    results.stream().filter(r -> r.pattern() == pattern).toList());
        }
        legend(svg, results.stream().map(ExperimentResult::policy).distinct().toList(), height);
        return svg.append("</svg>\n").toString();
    }

    private static void panel(
            StringBuilder svg, int y, LoadPattern pattern, List<ExperimentResult> results) {
        int bottom = y + PANEL - TOP / 2;
        add(
                svg,
                "<text x=\"%d\" y=\"%d\">%s: worth by second of the request</text>%n",
                LEFT,
                y + TOP / 2,
                pattern.label());
        for (int tenths = 0; tenths <= 10; tenths += 5) {
            double lineY = at(y, bottom, tenths / 10.0);
            add(
                    svg,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>"
                            + "<text x=\"18\" y=\"%.1f\">%.1f</text>%n",
                    LEFT,
                    WIDTH,
                    lineY,
                    lineY,
                    lineY + 4,
                    tenths / 10.0);
        }
        for (ExperimentResult result : results) {
            StringBuilder points = new StringBuilder();
            List<Double> worth = result.worthBySecond();
            for (int second = 0; second < worth.size(); second++) {
                double x = LEFT + (WIDTH - LEFT) * (second + 0.5) / worth.size();
                add(points, "%.1f,%.1f ", x, at(y, bottom, worth.get(second)));
            }
            add(
                    svg,
                    "<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>%n",
                    colour(result.policy()),
                    points.toString().strip());
        }
    }

    private static double at(int top, int bottom, double worth) {
        return bottom - worth * (bottom - top - TOP);
    }

    private static void legend(StringBuilder svg, List<PolicyKind> policies, int height) {
        int x = LEFT;
        for (PolicyKind policy : policies) {
            add(
                    svg,
                    "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
                    x,
                    height - FOOT / 3,
                    colour(policy),
                    policy.label());
            x += (WIDTH - LEFT) / PolicyKind.values().length;
        }
    }

    private static String colour(PolicyKind policy) {
        return COLOURS.getOrDefault(policy, "#000");
    }

    private static void add(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values));
    }
}
