package medlarroute.server

import medlarroute.core.NotStartedReason

/** Told of what is exchanged with backend servers, for metrics. Thread-safe and non-blocking. */
internal interface BackendObserver {
    /** A start was sent. */
    fun started()

    /** A start was proved not to have taken place. */
    fun notStarted(reason: NotStartedReason)

    /** The state of a task is asked for, since its reply did not arrive. */
    fun queried()

    /** A connection was given up because nothing arrived on it. */
    fun connectionSilent()

    object None : BackendObserver {
        override fun started(): Unit = Unit

        override fun notStarted(reason: NotStartedReason): Unit = Unit

        override fun queried(): Unit = Unit

        override fun connectionSilent(): Unit = Unit
    }
}
