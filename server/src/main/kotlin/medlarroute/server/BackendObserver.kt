package medlarroute.server

import medlarroute.core.BackendId
import medlarroute.core.NotStartedReason

/** What the headers of a reply tell of the backend server. */
internal data class BackendReply(val backend: BackendId, val incarnation: Long, val isLeaving: Boolean)

/** Told of what is exchanged with backend servers, for metrics. Thread-safe and non-blocking. */
internal interface BackendObserver {
    /** A start was sent. */
    fun started()

    /** A start was proved not to have taken place. */
    fun notStarted(reason: NotStartedReason)

    /** A reply to a start or to a query for the state of a task has arrived. */
    fun replied(reply: BackendReply)

    /** The state of a task is asked for, since its reply did not arrive. */
    fun queried()

    /** A connection was given up because nothing arrived on it. */
    fun connectionSilent()

    object None : BackendObserver {
        override fun started(): Unit = Unit

        override fun notStarted(reason: NotStartedReason): Unit = Unit

        override fun replied(reply: BackendReply): Unit = Unit

        override fun queried(): Unit = Unit

        override fun connectionSilent(): Unit = Unit
    }
}
