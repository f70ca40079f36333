package medlarroute.dispatch

import kotlinx.serialization.Serializable

/** Name of a job, chosen by its caller and reused when the caller retries the request. */
@Serializable
@JvmInline
public value class JobId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a queue that callers submit jobs to. */
@Serializable
@JvmInline
public value class QueueId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a service: the set of backend servers that run the tasks of some queues. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** One task of a job: number [index] of step [step], both from 0. */
@Serializable
public data class TaskKey(public val job: JobId, public val step: Int, public val index: Int) {
    override fun toString(): String = "$job/$step/$index"
}
