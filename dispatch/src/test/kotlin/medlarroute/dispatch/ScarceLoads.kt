package medlarroute.dispatch

/** Result of one queue over all seeds, as fractions of its jobs. */
internal class QueueFigures(val inTime: Double, val late: Double, val refused: Double, val widestInTime: Double)

/**
 * Scarce capacity at the two target deployments, each as one owner sees it: a quarter of the backend servers of
 * deployment A, a third of those of B, and fewer, as after a loss of backend servers or with more demand.
 */
internal class ScarceLoad(
    val name: String,
    private val deployment: SimulatedDeployment,
    private val amplitude: Double = 0.0,
    val burstQueue: String? = null,
    private val seconds: Int = 8,
) {
    fun run(
        seeds: IntRange,
        settings: DispatchSettings = DispatchSettings(),
        setUp: SimulatedBackends.() -> Unit = {},
    ): Map<String, QueueFigures> {
        val patterns = seeds.map { LoadPattern(1.0, seconds, amplitude, it, deployment, settings, setUp).run() }
        return deployment.kinds.associate { kind ->
            kind.queue to figures(
                patterns.map {
                    it.results.getValue(kind.queue)
                },
                patterns.map { it.widestResults.getValue(kind.queue) },
            )
        }
    }

    private fun figures(all: List<KindResult>, widest: List<KindResult>): QueueFigures {
        val submitted = all.sumOf { it.submitted }.toDouble()
        return QueueFigures(
            all.sumOf {
                it.inTime
            } / submitted,
            all.sumOf { it.late } / submitted,
            all.sumOf { it.refused } / submitted,
            widest.sumOf { it.inTime } / widest.sumOf { it.submitted }.toDouble(),
        )
    }

    companion object {
        private fun scarce(backends: Int, vararg bursts: Burst) = SimulatedDeployment(
            listOf(
                JobKind("short", 0, 36.0, 8, 60.0, 1.0),
                JobKind("medium", 1, 105.0, 2, 200.0, 1.0),
                JobKind("long", 2, 6.55, 4, 900.0, 1.0),
            ),
            backends,
            cores = 32,
            demandMillis = 16_000,
            tailShare = 0.0,
            bursts = bursts.toList(),
        )

        private fun uneven(backends: Int) = SimulatedDeployment(
            listOf(
                JobKind("short", 0, 42.0, 8, 51.0, 1.0),
                JobKind("medium", 1, 123.0, 2, 170.0, 1.0),
                JobKind("long", 2, 7.7, 4, 760.0, 1.0),
            ),
            backends,
            speeds = listOf(1.0, 1.3),
            cores = 16,
            demandMillis = 8_000,
        )

        private fun burst(backends: Int, queue: String, factor: Double) = ScarceLoad(
            "A, $backends servers, $queue x $factor",
            scarce(backends, Burst(queue, factor, 1_000, 5_000)),
            burstQueue = queue,
        )

        val ALL =
            listOf(61, 46).flatMap {
                listOf(burst(it, "long", 2.5), burst(it, "medium", 1.7), burst(it, "short", 2.5))
            } +
                listOf(82, 70).map { ScarceLoad("B, $it servers", uneven(it), amplitude = 0.55) }

        /** Bursts beyond those of the deployments. */
        val STRONG_BURSTS = listOf(burst(61, "long", 6.0), burst(61, "medium", 4.0), burst(61, "short", 6.0))
    }
}
