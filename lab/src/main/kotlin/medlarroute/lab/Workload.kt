package medlarroute.lab

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.Serializable
import java.io.File

/**
 * Configuration of one experiment: the cluster, its load and the faults. Read from a YAML file in `lab/experiments`.
 *
 * @property load offered work as a fraction of the total capacity of all backend servers.
 * @property seconds time over which jobs arrive, in virtual time; jobs that arrive within [warmupSeconds] are not
 * counted.
 * @property longShare fraction of the tasks whose run time is multiplied by [longFactorMin] to [longFactorMax].
 * @property declaredSpread declared run times are up to this factor too high or too low; 0 for no declared run times.
 * @property speedSpread ratio of the speeds of the fastest and the slowest backend server.
 * @property lostHalfOfDomainAtSeconds time at which half of the backend servers of one failure domain fail.
 * @property cancelWaveAtSeconds time at which four of five jobs that arrived in the second before are cancelled.
 * @property failingBackends number of backend servers that fail every task.
 * @property teams number of callers, each with a team of its own and an equal quota; 0 for one caller without a quota.
 * @property quotaLoad sum of the quotas as a fraction of the capacity.
 * @property greedyFactor load of the first team relative to that of each other team.
 */
@Serializable
internal data class Workload(
    val name: String,
    val size: ClusterSize = ClusterSize.TODAY_1,
    val load: Double = 0.7,
    val seconds: Double = 40.0,
    val warmupSeconds: Double = 10.0,
    val seed: Long = 1,
    val timeoutMs: Long = 5_000,
    val kinds: List<TaskKind> = TaskKind.DEFAULT,
    val longShare: Double = 0.0,
    val longFactorMin: Double = 30.0,
    val longFactorMax: Double = 100.0,
    val declaredSpread: Double = 0.0,
    val speedSpread: Double = 1.0,
    val swing: Swing? = null,
    val lostHalfOfDomainAtSeconds: Double? = null,
    val cancelWaveAtSeconds: Double? = null,
    val failingBackends: Int = 0,
    val teams: Int = 0,
    val quotaLoad: Double = 0.9,
    val greedyFactor: Double = 1.0,
) {
    companion object {
        fun read(file: File): Workload = Yaml.default.decodeFromString(serializer(), file.readText())
    }
}

/**
 * A temporary change of the load to [factor] times its base value between [fromSeconds] and [toSeconds], with linear
 * ramps of [rampSeconds] at both ends.
 */
@Serializable
internal data class Swing(
    val factor: Double,
    val fromSeconds: Double,
    val toSeconds: Double,
    val rampSeconds: Double = 2.0,
)

/** A kind of task with log-normally distributed run times at speed 1; [share] is the fraction of jobs of this kind. */
@Serializable
internal data class TaskKind(
    val name: String,
    val share: Double,
    val medianMs: Double,
    val sigma: Double,
    val maxTasks: Int = 110,
) {
    companion object {
        /** Most tasks take 50 ms to 1 s, a few take several seconds. */
        val DEFAULT =
            listOf(
                TaskKind("check", share = 0.50, medianMs = 60.0, sigma = 0.3),
                TaskKind("render", share = 0.35, medianMs = 150.0, sigma = 0.4),
                TaskKind("fit", share = 0.145, medianMs = 400.0, sigma = 0.5),
                TaskKind("batch", share = 0.005, medianMs = 2_000.0, sigma = 0.4, maxTasks = 10),
            )
    }
}

/**
 * Sizes of the two existing deployments and of the target deployment.
 *
 * @property crossDomainMs one-way latency between failure domains; within one it is [LOCAL_MS].
 * @property crossRegionMs one-way latency between the two regions, each with half of the failure domains.
 */
internal enum class ClusterSize(
    val backends: Int,
    val instances: Int,
    val crossDomainMs: Double,
    val crossRegionMs: Double,
) {
    TODAY_1(backends = 32, instances = 8, crossDomainMs = 0.5, crossRegionMs = 0.5),
    TODAY_2(backends = 32, instances = 9, crossDomainMs = 1.0, crossRegionMs = 1.0),

    /** The latency between the regions is an assumption, since the requirements don't specify it. */
    TARGET(backends = 910, instances = 16, crossDomainMs = 0.5, crossRegionMs = 10.0),
    ;

    fun latencyNs(fromDomain: Int, toDomain: Int): Long {
        val ms =
            when {
                fromDomain == toDomain -> LOCAL_MS
                fromDomain / DOMAINS_PER_REGION == toDomain / DOMAINS_PER_REGION -> crossDomainMs
                else -> crossRegionMs
            }
        return (ms * NS_PER_MS).toLong()
    }

    companion object {
        const val DOMAINS = 4
        const val SLOTS = 8
        const val LOCAL_MS = 0.25
        private const val DOMAINS_PER_REGION = 2
    }
}

internal const val NS_PER_MS = 1e6
internal const val NS_PER_SECOND = 1e9
