package medlarroute.server

import medlarroute.core.BackendId
import medlarroute.core.NotStartedReason

/** State of a backend server as reported in the headers of a reply. */
internal data class BackendReply(val backend: BackendId, val incarnation: Long, val isLeaving: Boolean)

/** Receives events of the exchange with backend servers, for metrics. Thread-safe and non-blocking. */
internal interface BackendObserver {
    /** A start was sent. */
    fun started()

    /** A start is known not to have happened. */
    fun notStarted(reason: NotStartedReason)

    /** A reply to a start or to a query for a task's state has arrived. */
    fun replied(reply: BackendReply)

    /** The state of a task is queried because its reply did not arrive. */
    fun queried()

    /** A connection was closed because no data arrived on it. */
    fun unresponsiveConnectionClosed()

    object None : BackendObserver {
        override fun started(): Unit = Unit

        override fun notStarted(reason: NotStartedReason): Unit = Unit

        override fun replied(reply: BackendReply): Unit = Unit

        override fun queried(): Unit = Unit

        override fun unresponsiveConnectionClosed(): Unit = Unit
    }
}
