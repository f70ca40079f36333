package medlarroute.lab

import medlarroute.core.Engine
import medlarroute.core.EngineSettings
import medlarroute.core.Mechanism
import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random

/**
 * Arguments of [runExperiment].
 *
 * @property workloads YAML files, or directories whose YAML files are run in the order of their names.
 * @property policies names of the policies; if empty, the engine and all baselines are run.
 * @property out directory for `experiment.json` and `experiment.html`.
 * @property threads number of workloads that run concurrently. It affects no figure other than the wall-clock times.
 */
public data class ExperimentArguments(
    public val workloads: List<File>,
    public val policies: List<String> = emptyList(),
    public val out: File = File("target/experiment"),
    public val threads: Int = 2,
)

/** Runs all workloads with all policies, writes the report and returns a table of the main figures. */
public fun runExperiment(arguments: ExperimentArguments): String {
    val names = arguments.policies.ifEmpty { listOf(ENGINE) + BASELINES.keys }
    val workloads = arguments.workloads.flatMap(::yamlFiles).map(Workload::read)
    val executor = Executors.newFixedThreadPool(arguments.threads)
    try {
        val results = workloads.map { workload -> executor.submit(Callable { runAll(workload, names) }) }
        val report = ExperimentReport(results.flatMap { it.get() })
        report.write(arguments.out)
        return report.table()
    } finally {
        executor.shutdownNow()
    }
}

private const val ENGINE = "medlarroute"

private val BASELINES =
    mapOf(
        "random" to BackendSelection.RANDOM,
        "round-robin" to BackendSelection.ROUND_ROBIN,
        "least-outstanding" to BackendSelection.LEAST_OUTSTANDING,
        "first-come" to BackendSelection.FIRST_COME_FIRST_SERVED,
    )

private fun yamlFiles(file: File): List<File> =
    if (file.isDirectory) file.listFiles { entry -> entry.extension == "yaml" }.orEmpty().sorted() else listOf(file)

private fun runAll(workload: Workload, names: List<String>): List<PolicyResult> {
    val trace = WorkloadTrace(workload)
    val ideal = IdealBound(trace)
    return names.map { Experiment(trace, policy(it), ideal).run() }
}

/**
 * The policy with the given name. The name `without-long-separation` selects the engine without
 * [Mechanism.LONG_SEPARATION]; there is such a name for each mechanism.
 */
private fun policy(name: String): Policy {
    val selection = BASELINES[name]
    if (selection != null) return Policy(name) { BaselineDispatcher(selection, it.clock, Random(it.instance)) }
    val settings = engineSettings(name)
    return Policy(name, isPooled = name == POOLED) {
        EngineDispatcher(Engine(settings.copy(failureDomain = it.failureDomain), it.clock, Random(it.instance)))
    }
}

private fun engineSettings(name: String): EngineSettings {
    if (name == ENGINE || name == POOLED) return EngineSettings()
    val mechanism = Mechanism.entries.firstOrNull { name == WITHOUT + it.name.lowercase().replace('_', '-') }
    requireNotNull(mechanism) { "unknown policy: $name" }
    return EngineSettings(disabled = setOf(mechanism))
}

/**
 * Policy with a single engine for all instances. It shows what instances could achieve if each knew about the task
 * starts of the others without delay.
 */
private const val POOLED = "pooled"

private const val WITHOUT = "without-"

/**
 * Runs experiments without the command-line tool. Arguments: `--cost` for [measureEngineCost], or
 * `[--policies a,b] [--out dir] file...`.
 */
public fun main(arguments: Array<String>) {
    if (arguments.contentEquals(arrayOf("--cost"))) return println(measureEngineCost())
    val policies = arguments.indexOf("--policies").takeIf { it >= 0 }?.let { arguments[it + 1].split(',') }.orEmpty()
    val out = arguments.indexOf("--out").takeIf { it >= 0 }?.let { File(arguments[it + 1]) }
    val files = arguments.filterIndexed { index, text -> !text.startsWith("--") && !isValue(arguments, index) }
    println(runExperiment(ExperimentArguments(files.map(::File), policies, out ?: File("target/experiment"))))
}

private fun isValue(arguments: Array<String>, index: Int) = index > 0 && arguments[index - 1].startsWith("--")
