package medlarroute.lab

import kotlinx.serialization.Serializable

/**
 * Fault switches and speed of a backend stand-in. They can be changed at run time over its admin port.
 *
 * @property paused stalls all connections: they stay open, but nothing is answered.
 * @property failsAll makes each task fail a few milliseconds after its start.
 * @property leaving rejects new tasks; replies have the header `Backend-State: leaving` and connections get GOAWAY.
 * @property startsWhileLeaving starts new tasks while leaving, in violation of the protocol, so that the checker can
 * detect which entry instances still send them.
 * @property busy rejects each start as if all slots were busy.
 * @property stragglerShare share of the tasks, from 0 to 1, that take [stragglerFactor] times as long.
 * @property speed speed relative to the nominal run times, which are divided by it.
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
