package medlarroute.lab

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import java.io.ByteArrayOutputStream
import java.io.File
import java.util.Locale

/** Writes `experiment.json` and `experiment.html`, which has a table and a plot of the response times per workload. */
internal class ExperimentReport(private val results: List<PolicyResult>) {
    fun write(directory: File) {
        directory.mkdirs()
        val json = Json { prettyPrint = true }
        val text = json.encodeToString(ListSerializer(PolicyResult.serializer()), results)
        File(directory, "experiment.json").writeText(text)
        File(directory, "experiment.html").writeText(html())
    }

    /** Text table with one line per workload and policy. */
    fun table(): String = (listOf(HEADINGS.joinToString(" ")) + results.map(::line)).joinToString("\n")

    private fun line(result: PolicyResult): String = cells(result).joinToString(" ")

    private fun cells(result: PolicyResult): List<String> =
        listOf(
            result.workload.padEnd(NAME_WIDTH),
            result.policy.padEnd(NAME_WIDTH),
            number(result.medianToIdeal),
            number(result.p99ToIdeal),
            number(result.meanToIdeal),
            number(result.jobRatioP50),
            number(result.jobRatioP99),
            number(result.shortSlowdownP99),
            number(result.inTimeWork),
            String.format(Locale.ROOT, "%9.5f", result.admittedInTime),
            number(result.wastedMessages * PERCENT),
            String.format(Locale.ROOT, "%7d", result.jobs),
            String.format(Locale.ROOT, "%7d", result.refused),
            String.format(Locale.ROOT, "%7d", result.failed),
            number(result.maxRefusalMs),
            number(result.othersRefused),
            number(result.greedyRefused),
            number(result.othersP99Ms),
            String.format(Locale.ROOT, "%7d", result.wallNsPerStart),
        )

    private fun number(value: Double) = String.format(Locale.ROOT, "%8.3f", value)

    private fun html(): String {
        val sections = results.groupBy { it.workload }.map { (workload, group) -> section(workload, group) }
        return "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>medlarroute experiment</title></head>\n" +
            "<body>\n${sections.joinToString("\n")}\n</body></html>\n"
    }

    private fun section(workload: String, group: List<PolicyResult>): String {
        val rows = group.joinToString("\n") { result -> row(cells(result).drop(1), "td") }
        val head = row(HEADINGS.drop(1), "th")
        return "<h2>$workload</h2>\n<table border=\"1\">\n$head\n$rows\n</table>\n${plot(workload, group)}"
    }

    private fun row(cells: List<String>, tag: String) =
        cells.joinToString("", "<tr>", "</tr>") { "<$tag>${it.trim()}</$tag>" }

    private fun plot(workload: String, group: List<PolicyResult>): String {
        val chart = XYChartBuilder().width(CHART_WIDTH).height(CHART_HEIGHT).title(workload)
            .xAxisTitle("number of nines of the percentile").yAxisTitle("response time, ms").build()
        chart.styler.isYAxisLogarithmic = true
        group.filter { it.complete > 0 }.forEach { chart.addSeries(it.policy, X_VALUES, positive(it.responseMs)) }
        group.firstOrNull { it.complete > 0 }?.let { chart.addSeries("ideal", X_VALUES, positive(it.idealMs)) }
        return svg(chart)
    }

    private fun positive(values: List<Double>) = values.map { it.coerceAtLeast(MIN_MS) }.toDoubleArray()

    private fun svg(chart: XYChart): String {
        val out = ByteArrayOutputStream()
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsEncoder.VectorGraphicsFormat.SVG)
        val text = out.toString(Charsets.UTF_8)
        return text.substring(text.indexOf("<svg"))
    }

    private companion object {
        const val NAME_WIDTH = 22
        const val PERCENT = 100
        const val CHART_WIDTH = 900
        const val CHART_HEIGHT = 480

        /** Lower limit of plotted values, since the logarithmic axis can't show 0. */
        const val MIN_MS = 0.001
        val X_VALUES = PERCENTILES.map { -Math.log10(1 - it / PERCENT) }.toDoubleArray()
        val HEADINGS =
            listOf(
                "workload".padEnd(
                    NAME_WIDTH,
                ),
                "policy".padEnd(NAME_WIDTH), " p50/ideal", "p99/ideal", "mean/ideal", "jobR50", "jobR99",
                "short99", "inTime", "admitted", "wasted%", "jobs", "refused", "failed", "refuseMs", "othRef",
                "greedRef", "othP99", "ns/start",
            )
    }
}
