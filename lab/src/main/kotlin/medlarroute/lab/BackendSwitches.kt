package medlarroute.lab

import kotlinx.serialization.Serializable

/**
 * How a backend stand-in behaves from now on. Changed at run time over its admin port.
 *
 * @property paused connections stay open and nothing is answered.
 * @property failsAll each task fails a few milliseconds after its start.
 * @property leaving no new tasks; replies say `Backend-State: leaving` and connections get GOAWAY.
 * @property startsWhileLeaving starts new tasks although it is leaving, against the protocol, so that the checker sees
 * which entry instances still send them.
 * @property busy each start is turned down as if all slots were busy.
 * @property stragglerShare share of the tasks, from 0 to 1, that take [stragglerFactor] times as long.
 * @property speed run times are divided by it.
 */
@Serializable
data class BackendSwitches(
    val paused: Boolean = false,
    val failsAll: Boolean = false,
    val leaving: Boolean = false,
    val startsWhileLeaving: Boolean = false,
    val busy: Boolean = false,
    val stragglerShare: Double = 0.0,
    val stragglerFactor: Double = 20.0,
    val speed: Double = 1.0,
) {
    init {
        require(speed > 0) { "speed must be above 0" }
        require(stragglerFactor > 0) { "stragglerFactor must be above 0" }
        require(stragglerShare in 0.0..1.0) { "stragglerShare must be from 0 to 1" }
    }
}
