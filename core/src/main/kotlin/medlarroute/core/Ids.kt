package medlarroute.core

/** Name of a failure domain: a set of machines that fail together and may be cut off from the others. */
@JvmInline
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** Name of an entry instance. Stays the same across restarts; an [Incarnation] distinguishes the restarts. */
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one run of the process of an [InstanceId]. A later run has a higher number. */
@JvmInline
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString(RADIX)

    private companion object {
        const val RADIX = 36
    }
}

/** Name of a backend server. */
@JvmInline
public value class BackendId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a caller, as authenticated. */
@JvmInline
public value class CallerId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a team; quotas are counted per team. */
@JvmInline
public value class TeamId(public val value: String) {
    override fun toString(): String = value
}

/** Kind of a task. Run times are learned per kind. */
@JvmInline
public value class KindId(public val value: String) {
    override fun toString(): String = value
}

/** One task of a submission; [index] counts from 0. Its text form is the task's id on the wire. */
public data class TaskId(public val submission: SubmissionId, public val index: Int) {
    override fun toString(): String = "$submission/$index"
}
