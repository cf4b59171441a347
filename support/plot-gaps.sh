#!/usr/bin/env bash
# Plots the 99.9th percentile of token gaps (ms) against load as SVG, from the
# CSV output of policy-bench:
#   build/policy-bench --load 0.6,0.8,1.0,1.2,1.4 --seed 1,2,3 --csv gaps.csv
#   support/plot-gaps.sh gaps.csv >docs/gap-tail.svg
awk -F, '
NR == 1 { for (i = 1; i <= NF; i++) column[$i] = i; next }
{
  policy = $column["policy"]; load = $column["load"]
  sum[policy, load] += $column["gap_p999_ms"]; n[policy, load]++
  loads[load] = 1; policies[policy] = 1
}
END {
  for (l in loads) { if (min == "" || l < min) min = l; if (l > max) max = l }
  for (k in sum) if (sum[k] / n[k] > top) top = sum[k] / n[k]
  split("#c0392b #7f8c8d #27ae60 #8e44ad #e67e22 #2980b9", color, " ")
  w = 640; h = 360; left = 60; bottom = 40
  printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", w, h
  printf "<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n", w, h
  for (i = 0; i <= 4; i++) {
    y = h - bottom - i * (h - bottom - 20) / 4
    printf "<line x1=\"%d\" y1=\"%.0f\" x2=\"%d\" y2=\"%.0f\" stroke=\"#ddd\"/><text x=\"8\" y=\"%.0f\">%.0f ms</text>\n", left, y, w - 130, y, y + 4, top * i / 4
  }
  count = 0
  for (p in policies) {
    count++; path = ""; m = 0
    for (l in loads) order[++m] = l
    for (i = 1; i <= m; i++) for (j = i + 1; j <= m; j++)
      if (order[j] + 0 < order[i] + 0) { t = order[i]; order[i] = order[j]; order[j] = t }
    for (i = 1; i <= m; i++) {
      x = left + (order[i] - min) / (max - min) * (w - 130 - left)
      y = h - bottom - sum[p, order[i]] / n[p, order[i]] / top * (h - bottom - 20)
      path = path sprintf("%s%.1f,%.1f ", i == 1 ? "M" : "L", x, y)
      if (count == 1) printf "<text x=\"%.0f\" y=\"%d\">%s</text>\n", x - 8, h - 20, order[i]
    }
    printf "<path d=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>\n", path, color[count]
    printf "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n", w - 120, 20 + 16 * count, color[count], p
  }
  printf "<text x=\"%d\" y=\"%d\">load</text>\n</svg>\n", w / 2 - 40, h - 4
}' "$1"
