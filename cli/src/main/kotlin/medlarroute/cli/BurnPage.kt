package medlarroute.cli

import medlarroute.core.BurnReport
import medlarroute.core.ObjectiveBurn
import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.Styler
import org.knowm.xchart.style.markers.SeriesMarkers
import java.io.ByteArrayOutputStream
import java.util.Locale

/** Renders a [BurnReport] as a self-contained HTML page. */
internal object BurnPage {
    /** Returns the page, with a table of the burn rates by window and a plot of the last six hours. */
    fun render(report: BurnReport): String =
        buildString {
            appendLine("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn report</title>")
            appendLine(
                "<style>body{font-family:sans-serif}td,th{padding:2px 10px;text-align:right}</style></head><body>",
            )
            appendLine("<h1>Service-level burn</h1>")
            report.unreachable.forEach {
                appendLine("<p><b>Missing: ${escape(it.url)}</b> (${escape(it.reason)})</p>")
            }
            if (report.objectives.isNotEmpty()) {
                appendLine(table(report.objectives))
                appendLine(plot(report.objectives))
            }
            report.instances.forEach {
                val incarnation = BurnText.describeIncarnation(it.incarnation, it.uptimeMs)
                appendLine("<p>Instance ${escape(it.instance)}, ${escape(incarnation)}</p>")
            }
            appendLine("</body></html>")
        }

    private fun table(burns: List<ObjectiveBurn>): String =
        buildString {
            val lengths = burns.first().windows.joinToString("") { "<th>${it.window.length}</th>" }
            appendLine("<table><tr><th>Objective</th><th>State</th>$lengths</tr>")
            for (burn in burns) {
                val rates = burn.windows.joinToString("") { "<td>${"%.2f".format(Locale.ROOT, it.burnRate)}</td>" }
                val title = escape(BurnText.title(burn.objective))
                appendLine("<tr><td>$title</td><td>${burn.state}</td>$rates</tr>")
            }
            append("</table>")
        }

    private fun plot(burns: List<ObjectiveBurn>): String {
        System.setProperty("java.awt.headless", "true")
        val chart = XYChartBuilder().width(WIDTH).height(HEIGHT)
            .title("Burn rate of each five minutes").xAxisTitle("hours ago").yAxisTitle("burn rate").build()
        chart.styler.legendPosition = Styler.LegendPosition.OutsideS
        burns.forEachIndexed { i, burn -> addSeries(chart, "${i + 1}: ${BurnText.title(burn.objective)}", burn.series) }
        val bytes = ByteArrayOutputStream()
        VectorGraphicsEncoder.saveVectorGraphic(chart, bytes, VectorGraphicsEncoder.VectorGraphicsFormat.SVG)
        return bytes.toString(Charsets.UTF_8).substringAfter("?>").replace(Regex("<!DOCTYPE[^>]*>"), "")
    }

    private fun addSeries(chart: XYChart, name: String, newestFirst: List<Double>) {
        val hours = newestFirst.indices.map { -it * MINUTES_PER_POINT / MINUTES_PER_HOUR }
        chart.addSeries(name, hours.reversed(), newestFirst.reversed()).marker = SeriesMarkers.NONE
    }

    private fun escape(text: String) =
        text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")

    private const val WIDTH = 900
    private const val HEIGHT = 420
    private const val MINUTES_PER_POINT = 5.0
    private const val MINUTES_PER_HOUR = 60.0
}
