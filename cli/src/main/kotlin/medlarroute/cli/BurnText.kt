package medlarroute.cli

import medlarroute.core.BurnReport
import medlarroute.core.ObjectiveBurn
import medlarroute.core.ObjectiveSettings
import java.util.Locale
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The report as plain text. */
internal object BurnText {
    /** One block for each objective, then the instances. */
    fun print(report: BurnReport): String =
        buildString {
            report.objectives.forEach { append(objective(it)) }
            if (report.objectives.isEmpty()) appendLine("no objectives are set (section report.objectives)")
            report.instances.forEach { appendLine("instance ${it.instance}, ${life(it.incarnation, it.uptimeMs)}") }
            report.unreachable.forEach { appendLine("missing: ${it.url} (${it.reason})") }
        }

    /** Name of an objective for people. */
    fun title(objective: ObjectiveSettings): String {
        val caller = objective.caller.ifEmpty { "any" }
        val kind = objective.kind.ifEmpty { "any" }
        val percent = "%.5f".format(Locale.ROOT, objective.share * PERCENT).trimEnd('0').trimEnd('.')
        return "caller $caller, kind $kind: $percent% within ${objective.latencyMs} ms"
    }

    /** Which life of an instance, and its age. */
    fun life(incarnation: String, uptimeMs: Long): String =
        "incarnation $incarnation, up ${uptimeMs.milliseconds.inWholeSeconds.seconds}"

    private fun objective(burn: ObjectiveBurn): String =
        buildString {
            appendLine("${title(burn.objective)}: ${burn.state}")
            for (window in burn.windows) {
                val rate = "%8.2f".format(Locale.ROOT, window.burnRate)
                val length = window.window.length.toString().padStart(LENGTH_WIDTH)
                appendLine("  $length  burn rate $rate  ${window.bad} of ${window.total} jobs not complete in time")
            }
        }

    private const val PERCENT = 100
    private const val LENGTH_WIDTH = 4
}
