package medlarroute.dispatch

/** What the dispatcher asks for. Called on the dispatcher's thread. */
public interface DispatchActions {
    public fun start(command: StartCommand)

    public fun stop(command: StopCommand)

    /** [number] is passed back with the result. */
    public fun poll(request: PollRequest, number: Long)

    /** The result of a job for each instance that waits for it. */
    public fun ended(origin: JobOrigin, job: JobId, result: JobResult)

    /** The backend server obeys another owner. */
    public fun fenced(failureDomain: String)
}
