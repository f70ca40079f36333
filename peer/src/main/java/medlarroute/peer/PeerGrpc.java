package medlarroute.peer;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Calls between entry instances.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "medlarroute.peer.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<medlarroute.peer.ForwardRequest,
      medlarroute.peer.ForwardReply> getForwardMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Forward",
      requestType = medlarroute.peer.ForwardRequest.class,
      responseType = medlarroute.peer.ForwardReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<medlarroute.peer.ForwardRequest,
      medlarroute.peer.ForwardReply> getForwardMethod() {
    io.grpc.MethodDescriptor<medlarroute.peer.ForwardRequest, medlarroute.peer.ForwardReply> getForwardMethod;
    if ((getForwardMethod = PeerGrpc.getForwardMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getForwardMethod = PeerGrpc.getForwardMethod) == null) {
          PeerGrpc.getForwardMethod = getForwardMethod =
              io.grpc.MethodDescriptor.<medlarroute.peer.ForwardRequest, medlarroute.peer.ForwardReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Forward"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  medlarroute.peer.ForwardRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  medlarroute.peer.ForwardReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Forward"))
              .build();
        }
      }
    }
    return getForwardMethod;
  }

  private static volatile io.grpc.MethodDescriptor<medlarroute.peer.HeartbeatMessage,
      medlarroute.peer.HeartbeatMessage> getHeartbeatMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Heartbeat",
      requestType = medlarroute.peer.HeartbeatMessage.class,
      responseType = medlarroute.peer.HeartbeatMessage.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<medlarroute.peer.HeartbeatMessage,
      medlarroute.peer.HeartbeatMessage> getHeartbeatMethod() {
    io.grpc.MethodDescriptor<medlarroute.peer.HeartbeatMessage, medlarroute.peer.HeartbeatMessage> getHeartbeatMethod;
    if ((getHeartbeatMethod = PeerGrpc.getHeartbeatMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getHeartbeatMethod = PeerGrpc.getHeartbeatMethod) == null) {
          PeerGrpc.getHeartbeatMethod = getHeartbeatMethod =
              io.grpc.MethodDescriptor.<medlarroute.peer.HeartbeatMessage, medlarroute.peer.HeartbeatMessage>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Heartbeat"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  medlarroute.peer.HeartbeatMessage.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  medlarroute.peer.HeartbeatMessage.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Heartbeat"))
              .build();
        }
      }
    }
    return getHeartbeatMethod;
  }

  private static volatile io.grpc.MethodDescriptor<medlarroute.peer.GetRulesRequest,
      medlarroute.peer.GetRulesReply> getGetRulesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetRules",
      requestType = medlarroute.peer.GetRulesRequest.class,
      responseType = medlarroute.peer.GetRulesReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<medlarroute.peer.GetRulesRequest,
      medlarroute.peer.GetRulesReply> getGetRulesMethod() {
    io.grpc.MethodDescriptor<medlarroute.peer.GetRulesRequest, medlarroute.peer.GetRulesReply> getGetRulesMethod;
    if ((getGetRulesMethod = PeerGrpc.getGetRulesMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getGetRulesMethod = PeerGrpc.getGetRulesMethod) == null) {
          PeerGrpc.getGetRulesMethod = getGetRulesMethod =
              io.grpc.MethodDescriptor.<medlarroute.peer.GetRulesRequest, medlarroute.peer.GetRulesReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetRules"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  medlarroute.peer.GetRulesRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  medlarroute.peer.GetRulesReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("GetRules"))
              .build();
        }
      }
    }
    return getGetRulesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<medlarroute.peer.HandOverBatch,
      medlarroute.peer.HandOverReply> getHandOverMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "HandOver",
      requestType = medlarroute.peer.HandOverBatch.class,
      responseType = medlarroute.peer.HandOverReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.CLIENT_STREAMING)
  public static io.grpc.MethodDescriptor<medlarroute.peer.HandOverBatch,
      medlarroute.peer.HandOverReply> getHandOverMethod() {
    io.grpc.MethodDescriptor<medlarroute.peer.HandOverBatch, medlarroute.peer.HandOverReply> getHandOverMethod;
    if ((getHandOverMethod = PeerGrpc.getHandOverMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getHandOverMethod = PeerGrpc.getHandOverMethod) == null) {
          PeerGrpc.getHandOverMethod = getHandOverMethod =
              io.grpc.MethodDescriptor.<medlarroute.peer.HandOverBatch, medlarroute.peer.HandOverReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.CLIENT_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "HandOver"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  medlarroute.peer.HandOverBatch.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  medlarroute.peer.HandOverReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("HandOver"))
              .build();
        }
      }
    }
    return getHandOverMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Calls between entry instances.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Hands a request of a caller to the home of its submission. Answers when the home has the answer.
     * </pre>
     */
    default void forward(medlarroute.peer.ForwardRequest request,
        io.grpc.stub.StreamObserver<medlarroute.peer.ForwardReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getForwardMethod(), responseObserver);
    }

    /**
     * <pre>
     * Exchanges state between two instances. Both sides merge what they receive.
     * </pre>
     */
    default void heartbeat(medlarroute.peer.HeartbeatMessage request,
        io.grpc.stub.StreamObserver<medlarroute.peer.HeartbeatMessage> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHeartbeatMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the rules of the highest version that the instance knows.
     * </pre>
     */
    default void getRules(medlarroute.peer.GetRulesRequest request,
        io.grpc.stub.StreamObserver<medlarroute.peer.GetRulesReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetRulesMethod(), responseObserver);
    }

    /**
     * <pre>
     * Sends the sealed submission records of a stopping instance to a successor, which only replays them.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<medlarroute.peer.HandOverBatch> handOver(
        io.grpc.stub.StreamObserver<medlarroute.peer.HandOverReply> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getHandOverMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   * <pre>
   * Calls between entry instances.
   * </pre>
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   * <pre>
   * Calls between entry instances.
   * </pre>
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Hands a request of a caller to the home of its submission. Answers when the home has the answer.
     * </pre>
     */
    public void forward(medlarroute.peer.ForwardRequest request,
        io.grpc.stub.StreamObserver<medlarroute.peer.ForwardReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getForwardMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Exchanges state between two instances. Both sides merge what they receive.
     * </pre>
     */
    public void heartbeat(medlarroute.peer.HeartbeatMessage request,
        io.grpc.stub.StreamObserver<medlarroute.peer.HeartbeatMessage> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns the rules of the highest version that the instance knows.
     * </pre>
     */
    public void getRules(medlarroute.peer.GetRulesRequest request,
        io.grpc.stub.StreamObserver<medlarroute.peer.GetRulesReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetRulesMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Sends the sealed submission records of a stopping instance to a successor, which only replays them.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<medlarroute.peer.HandOverBatch> handOver(
        io.grpc.stub.StreamObserver<medlarroute.peer.HandOverReply> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncClientStreamingCall(
          getChannel().newCall(getHandOverMethod(), getCallOptions()), responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   * <pre>
   * Calls between entry instances.
   * </pre>
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Hands a request of a caller to the home of its submission. Answers when the home has the answer.
     * </pre>
     */
    public medlarroute.peer.ForwardReply forward(medlarroute.peer.ForwardRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges state between two instances. Both sides merge what they receive.
     * </pre>
     */
    public medlarroute.peer.HeartbeatMessage heartbeat(medlarroute.peer.HeartbeatMessage request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the rules of the highest version that the instance knows.
     * </pre>
     */
    public medlarroute.peer.GetRulesReply getRules(medlarroute.peer.GetRulesRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetRulesMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Sends the sealed submission records of a stopping instance to a successor, which only replays them.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<medlarroute.peer.HandOverBatch, medlarroute.peer.HandOverReply>
        handOver() {
      return io.grpc.stub.ClientCalls.blockingClientStreamingCall(
          getChannel(), getHandOverMethod(), getCallOptions());
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   * <pre>
   * Calls between entry instances.
   * </pre>
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Hands a request of a caller to the home of its submission. Answers when the home has the answer.
     * </pre>
     */
    public medlarroute.peer.ForwardReply forward(medlarroute.peer.ForwardRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges state between two instances. Both sides merge what they receive.
     * </pre>
     */
    public medlarroute.peer.HeartbeatMessage heartbeat(medlarroute.peer.HeartbeatMessage request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the rules of the highest version that the instance knows.
     * </pre>
     */
    public medlarroute.peer.GetRulesReply getRules(medlarroute.peer.GetRulesRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetRulesMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   * <pre>
   * Calls between entry instances.
   * </pre>
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Hands a request of a caller to the home of its submission. Answers when the home has the answer.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<medlarroute.peer.ForwardReply> forward(
        medlarroute.peer.ForwardRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getForwardMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Exchanges state between two instances. Both sides merge what they receive.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<medlarroute.peer.HeartbeatMessage> heartbeat(
        medlarroute.peer.HeartbeatMessage request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns the rules of the highest version that the instance knows.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<medlarroute.peer.GetRulesReply> getRules(
        medlarroute.peer.GetRulesRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetRulesMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_FORWARD = 0;
  private static final int METHODID_HEARTBEAT = 1;
  private static final int METHODID_GET_RULES = 2;
  private static final int METHODID_HAND_OVER = 3;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_FORWARD:
          serviceImpl.forward((medlarroute.peer.ForwardRequest) request,
              (io.grpc.stub.StreamObserver<medlarroute.peer.ForwardReply>) responseObserver);
          break;
        case METHODID_HEARTBEAT:
          serviceImpl.heartbeat((medlarroute.peer.HeartbeatMessage) request,
              (io.grpc.stub.StreamObserver<medlarroute.peer.HeartbeatMessage>) responseObserver);
          break;
        case METHODID_GET_RULES:
          serviceImpl.getRules((medlarroute.peer.GetRulesRequest) request,
              (io.grpc.stub.StreamObserver<medlarroute.peer.GetRulesReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_HAND_OVER:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.handOver(
              (io.grpc.stub.StreamObserver<medlarroute.peer.HandOverReply>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getForwardMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              medlarroute.peer.ForwardRequest,
              medlarroute.peer.ForwardReply>(
                service, METHODID_FORWARD)))
        .addMethod(
          getHeartbeatMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              medlarroute.peer.HeartbeatMessage,
              medlarroute.peer.HeartbeatMessage>(
                service, METHODID_HEARTBEAT)))
        .addMethod(
          getGetRulesMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              medlarroute.peer.GetRulesRequest,
              medlarroute.peer.GetRulesReply>(
                service, METHODID_GET_RULES)))
        .addMethod(
          getHandOverMethod(),
          io.grpc.stub.ServerCalls.asyncClientStreamingCall(
            new MethodHandlers<
              medlarroute.peer.HandOverBatch,
              medlarroute.peer.HandOverReply>(
                service, METHODID_HAND_OVER)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return medlarroute.peer.PeerOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getForwardMethod())
              .addMethod(getHeartbeatMethod())
              .addMethod(getGetRulesMethod())
              .addMethod(getHandOverMethod())
              .build();
        }
      }
    }
    return result;
  }
}
